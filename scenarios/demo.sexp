; make demo: three gatekeepers before twelve execute nodes; g0 and four nodes are split from all the rest
; (the counter, the machine list, the other nodes) for five seconds, and the split heals.
(scenario
  (name demo) (seed 3) (seconds 14)
  (gatekeepers 3) (nodes 12) (work 20ms)
  (firms 4) (rate 16) (quota 10) (burst 20) (allowed 60)
  (arrivals poisson)
  (faults
    (partition 4s 9s (g0 n0-n3) rest)))
