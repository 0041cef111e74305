; Five gatekeepers: two of them and a third of the nodes are split from the counter, the machine list and
; the rest; one of the others hears the counter but is not heard by it; one is paused past every timeout,
; one killed and started anew. The load rises through it all.
(scenario
  (name partition-five) (seed 7) (seconds 16)
  (gatekeepers 5) (nodes 12) (work 20ms)
  (firms 4) (rate 10) (quota 10) (burst 20) (allowed 80)
  (arrivals (ramp 10 24))
  (faults
    (partition 3s 8s (g0 g1 n0-n3) rest)
    (drop 4s 7s g2 counter)
    (delay 9s 11s g3 counter 20ms 10ms)
    (pause g4 9s 12s)
    (kill g1 12s) (restart g1 13s)))
