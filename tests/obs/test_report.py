from __future__ import annotations

from bronzequay import codes, ids
from bronzequay.obs import report, report_html
from bronzequay.policy import model


def record(number: int, state: model.JobState, code: codes.ResultCode) -> model.JobRecord:
    spec = model.JobSpec(
        org=ids.OrgId("org-a"),
        caller=ids.CallerId("<c1>"),
        members=1,
        accelerators=1,
        cpu=1,
        mem_gb=1,
        declared_s=5.0,
    )
    entry = model.HistoryEntry(
        at_s=100.0 + number,
        state=state,
        code=code,
        attempt=1,
        bundle=ids.BundleVersion(7),
        workers=(ids.WorkerId("w1"),),
    )
    return model.JobRecord(
        job=ids.JobId(f"j{number}"),
        spec=spec,
        state=state,
        code=code,
        accepted_s=10.0 * number,
        ended_s=10.0 * number + 5.0,
        history=[entry],
    )


RECORDS = [
    record(3, model.JobState.FINISHED, codes.ResultCode.OK),
    record(1, model.JobState.INFEASIBLE, codes.ResultCode.INFEASIBLE),
    record(2, model.JobState.IN_DOUBT, codes.ResultCode.IN_DOUBT),
]


def test_a_report_lists_jobs_in_order_of_acceptance_with_bundle_and_reason() -> None:
    job_report = report.build(RECORDS, from_s=0.0, to_s=100.0)
    assert [line.job for line in job_report.lines] == ["j1", "j2", "j3"]
    assert job_report.lines[0].why == codes.MEANINGS[codes.ResultCode.INFEASIBLE]
    assert {line.bundle for line in job_report.lines} == {7}
    text = report.render_text(job_report)
    assert "in doubt" in text
    assert "303 it can never run" in text


def test_a_report_lists_only_jobs_accepted_within_the_period() -> None:
    job_report = report.build(RECORDS, from_s=15.0, to_s=25.0)
    assert [line.job for line in job_report.lines] == ["j2"]


def test_the_html_report_escapes_text_and_contains_a_chart() -> None:
    page = report_html.render(report.build(RECORDS, from_s=0.0, to_s=100.0))
    assert "&lt;c1&gt;" in page
    assert "<c1>" not in page
    assert "<svg" in page
    assert "<script" not in page
