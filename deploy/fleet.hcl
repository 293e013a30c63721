# Dispatchers that know each other, so that work in hand survives the loss of one of them. Not for the platform,
# which allows no talk among dispatchers: nothing there names this file, and without a peers block all of it is off.
#
#   ottercroft --settings deploy/fleet.hcl
#   ottercroft check CONFIG --settings deploy/fleet.hcl
#
# The same file serves at every dispatcher but for `me` and `listen`. docs/operators/takeover.md tells the rest.

peers {
  me     = "sala-a"        # which of the peers below this one is
  listen = "10.0.0.1:7100" # for the other dispatchers alone: nothing on this port asks who calls

  # Three to nine, the same names at all. A majority has to be up for loads to be taken.
  peer "sala-a" {
    address = "10.0.0.1:7100"
  }
  peer "sala-b" {
    address = "10.0.0.2:7100"
  }
  peer "sala-c" {
    address = "10.0.0.3:7100"
  }

  lease  = "1s"    # without a renewal for this long a dispatcher has lost what it had in hand
  margin = "100ms" # how much longer the others wait, for clocks that differ in speed
  tick   = "30ms"  # the leader is heard this often; a lease is at least 25 of these
  batch  = "10ms"  # how long what may repeat waits to go on record together with more

  give_up  = "10s" # without a leader, and with a majority started anew: the record is lost, found another
  remember = "30s" # how long after its deadline a load is remembered: longer than clients go on asking

  maintenance {
    min_motores = 2     # motores that stay in service at least, while others are taken out for work
    headroom    = 1.3   # cores that stay in service for each that works, at least
    at_once     = 1     # motores that may be missing at once: draining, out or warming up
    drain_limit = "10m" # how long work on a motor is waited for before it is handed over
    out_limit   = "30m" # how long it may be out before the plan stops
  }

  # All dispatchers admit by one policy, changed by POLICY calls; docs/operators/policy.md. Off without this block, which
  # has to stand at all of them.
  #
  # policy {
  #   vote_limit    = "3s"     # how long a proposal waits for the votes of all
  #   close_limit   = "3s"     # how long after that all may take to stop admitting by the old one
  #   without_lease = "refuse" # or "stricter": admit what both policies known here allow; it may hold no more
  # }

  max_records    = 100000  # requests on record; the same at all peers
  max_taken_over = 1000    # requests of lost dispatchers in hand at once
  max_statement  = "4KiB"  # a longer one is not sent again by another dispatcher
  max_result     = "4KiB"  # a load's larger result is not kept for a client that comes back
  max_frame      = "64MiB" # the longest message of a peer: at least the whole record
}
