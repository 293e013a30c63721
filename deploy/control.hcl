# A control group: a few members agree on what all dispatchers admit requests by, and any number of dispatchers follow.
# Not for the platform, which allows no talk among dispatchers: nothing there names this file, and without a control
# block all of it is off. docs/operators/control.md tells the rest.
#
# This is a member's file. A dispatcher's has `role = "follower"`, the same group, round_trip, policy and member blocks,
# a region if there are any, and neither me, listen nor followers.

control {
  role      = "member"
  group     = "control"       # whoever says another name is turned away
  me        = "sur-1"         # which of the members below this one is
  listen    = "10.0.0.1:7200" # for other members alone: nothing on these two ports asks who calls
  followers = "10.0.0.1:7201" # for dispatchers

  # Three to seven, the same names everywhere. A majority has to be up for changes, and for leases.
  member "sur-1" {
    address   = "10.0.0.1:7200"
    followers = "10.0.0.1:7201"
    region    = "sur"         # followers of the same region prefer it
  }
  member "norte-1" {
    address   = "10.1.0.1:7200"
    followers = "10.1.0.1:7201"
    region    = "norte"
  }
  member "este-1" {
    address   = "10.2.0.1:7200"
    followers = "10.2.0.1:7201"
    region    = "este"
  }

  round_trip = "80ms" # the longest between two members; tick, election and lease follow from it
  # lease    = "1s"   # a member's lease, instead of what follows: at least 25 ticks of half a round trip

  max_followers = 1000 # of this member; those beyond are told so, with the names of the others
  max_snapshots = 16   # that this member has under way at once; who needs one beyond that waits

  # policy {
  #   vote_limit    = "3s"     # how long a change waits for the votes of all; three leases if not said
  #   close_limit   = "3s"     # how long after that all may take to stop admitting by the old policy
  #   without_lease = "refuse" # or "stricter": admit what both policies known here allow; it may hold no more
  # }
}
