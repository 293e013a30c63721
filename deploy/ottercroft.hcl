# Our own settings, for installations that have what the platform has not: a disk that lasts, files that people
# edit. On the platform this file is not named, and all of it is off.
#
#   ottercroft --settings deploy/ottercroft.hcl
#   ottercroft check CONFIG --settings deploy/ottercroft.hcl

log {
  format = "json" # or "text", which is what stands without this
}

motor_lists {
  # Who owns a motor that several sources name: the first one here. Without "feed" nobody asks the coordinator.
  precedence = ["salas", "feed"]

  seals          = "required" # a file without its seal is refused; "optional" gives it the settling time
  settle         = "300ms"    # how long what is not sealed has to stay as it is
  poll           = "1s"       # how often files are looked at if no notification comes
  max_size       = "8MiB"
  max_files      = 256
  max_motores    = 10000
  max_weight     = 100
  networks       = ["10.0.0.0/8"]
  allow_loopback = false
  drain_limit    = "10m" # how long a motor taken out of its list may go on with what it has

  # Where the last good lists are kept; without it a start with a broken file has no list of it.
  last_good = "/var/lib/ottercroft"
  on_empty  = "serve" # at a start with neither: serve and refuse with a time to come back; or "exit"

  source "salas" {
    path   = "/etc/ottercroft/motores"           # a file, or a directory of files *.hcl, one for each room
    accept = "/var/lib/ottercroft/salas.accepted" # where `lists accept` writes; beside the list if left out
  }

  guard {
    max_loss     = 0.5   # the share of a room's capacity that lists may take away...
    window       = "60s" # ...within this time, without a person's word
    remind       = "30s"
    accepted_for = "1h"
  }
}

# Retry storms: off unless the block is there. Every key may be left out.
retry_storms {
  longest_wait = "1s"  # the longest wait that clients honour
  repeats      = 0.3   # share of what passes that repeats without a promise may be
  remembered   = 20000 # asks remembered after they were turned away
}
