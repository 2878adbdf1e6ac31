"""bench/recovery.py on a log with known times.

Guards against recovery times that are wrong because the start and the end of an outage are paired wrongly, for instance
a loss seen by one process with the recovery of another.
"""
import os
import subprocess
import sys
import tempfile
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

LOG = """\
  0.0000 f1 t=1 level=info process=f1 event=started listen=a zone=z
  0.0100 c1 t=1 level=info process=c1 event=opening data=d as=member
  0.0200 c2 t=1 level=info process=c2 event=opening data=d as=member
  0.3000 c1 t=1 level=info process=c1 event=role group=0 role=leader term=1
  0.3500 f1 t=1 level=info process=f1 event=leader_found addr=a after_ms=350
  0.3600 f1 t=1 level=info process=f1 event=text_in_force number=1 version=1
  0.3700 c2 t=1 level=info process=c2 event=leader_found addr=a after_ms=350
 10.0000 f1 t=1 level=warn process=f1 event=leader_lost addr=a reason="no answer"
 10.1000 c2 t=1 level=warn process=c2 event=leader_lost addr=a reason=silent
 10.4000 c2 t=1 level=info process=c2 event=role group=0 role=leader term=2
 10.5000 f1 t=1 level=info process=f1 event=leader_found addr=b after_ms=500
 20.0000 f1 t=1 level=info process=f1 event=started listen=a zone=z
 20.1000 f1 t=1 level=info process=f1 event=leader_found addr=b after_ms=100
 20.1500 f1 t=1 level=info process=f1 event=text_in_force number=1 version=1
 30.0000 c2 t=1 level=info process=c2 event=voter_replacement_begun group=0 lost=c1:1
 30.7000 c2 t=1 level=info process=c2 event=voter_removed group=0 addr=c1:1
"""


class Recovery(unittest.TestCase):
    def test_recovery_times_by_kind(self):
        with tempfile.NamedTemporaryFile("w", suffix=".log") as f:
            f.write(LOG)
            f.flush()
            out = subprocess.run([sys.executable, os.path.join(ROOT, "bench/recovery.py"), f.name],
                                 capture_output=True, text=True, check=True).stdout
        rows = {line[:24].strip(): line[24:].split()[:3] for line in out.splitlines() if not line.startswith("#")}
        self.assertEqual(rows["entry without leader"], ["1", "500", "500"])
        self.assertEqual(rows["entry start"], ["1", "150", "150"])
        self.assertEqual(rows["leadership"], ["1", "400", "400"])
        self.assertEqual(rows["voter replaced"], ["1", "700", "700"])
        self.assertNotIn("control start", rows)


if __name__ == "__main__":
    unittest.main()
