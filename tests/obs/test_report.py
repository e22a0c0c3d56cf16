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


def test_a_report_tells_each_job_its_bundle_and_why_in_order_of_acceptance() -> None:
    kept = report.build(RECORDS, from_s=0.0, to_s=100.0)
    assert [line.job for line in kept.lines] == ["j1", "j2", "j3"]
    assert kept.lines[0].why == codes.MEANINGS[codes.ResultCode.INFEASIBLE]
    assert {line.bundle for line in kept.lines} == {7}
    text = report.as_text(kept)
    assert "in doubt" in text
    assert "303 it can never run" in text


def test_only_jobs_accepted_within_the_span_are_told() -> None:
    kept = report.build(RECORDS, from_s=15.0, to_s=25.0)
    assert [line.job for line in kept.lines] == ["j2"]


def test_the_html_report_escapes_and_draws() -> None:
    page = report_html.render(report.build(RECORDS, from_s=0.0, to_s=100.0))
    assert "&lt;c1&gt;" in page
    assert "<c1>" not in page
    assert "<svg" in page
    assert "<script" not in page
