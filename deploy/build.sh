#!/bin/sh
# Installs the run-time dependencies and a compiled copy of the package into target/deps.
set -eu
python3 - <<'PY'
import hashlib, pathlib, shutil, subprocess, sys
deps, requirements = pathlib.Path("target/deps"), pathlib.Path("deploy/requirements.txt")
stamp = deps / ".stamp"
digest = hashlib.sha256(requirements.read_bytes()).hexdigest()
if not stamp.exists() or stamp.read_text() != digest:
    shutil.rmtree(deps, ignore_errors=True)
    pip = [sys.executable, "-m", "pip", "install", "-q", "--no-deps", "--target", str(deps)]
    subprocess.run([*pip, "-r", str(requirements)], check=True)
    stamp.write_text(digest)
shutil.rmtree(deps / "bronzequay", ignore_errors=True)
shutil.copytree("src/bronzequay", deps / "bronzequay", ignore=shutil.ignore_patterns("__pycache__"))
PY
python3 -m compileall -q target/deps
