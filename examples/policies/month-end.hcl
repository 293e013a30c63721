# The last days of a month: loads and the warehouse first, reports may wait, and fewer further attempts.
policy "month end" {
  over_share_worth = 0.2 # a request beyond its tenant's share counts a fifth of one inside it

  class "report" {
    aim        = "3s"
    worth      = 2
    late_worth = 0.8
  }
  class "load" {
    worth = 20
  }

  tenant "mercado" {
    quota_per_s = 15
  }
  tenant "almacen" {
    quota_per_s = 25
  }

  attempts {
    most  = 3     # for a request, the first included
    free  = 2     # further ones in every span, whatever the traffic
    ratio = 0.1   # and so many for each request taken in the span
    span  = "10s"
  }
}
