; What ashlift has beyond the platform. The platform's run line names no settings file, so all of this is off
; there; other installations run `ashlift serve`, which reads this file, or name their own in GW_SETTINGS.
; `ashlift settings check FILE` checks one, `ashlift settings explain KEY` tells what a key means.
(ashlift
  (streaming (enabled true) (buffer-bytes 8MiB) (stream-buffer-bytes 256KiB) (most-streams 200)
    (class availability-report (head 3s) (stall 2s) (longest 4GiB)))

  ; Envoy's gRPC rate limit service; an empty address is off.
  (ratelimit
    (server (listen "") (domain availability-lookup))      ; the service for others
    (client (address "") (domain availability-counts)))    ; keeps the quota counts in the text counter's place

  (logging (form key-value) (level info)))
