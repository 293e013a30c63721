# Queries and reports go to the new machines alone, and short queries are given up sooner. Loads stay where they are:
# what a policy does not name is as the platform's settings have it. Names are those of examples/fleet/.
policy "new machines" {
  class "short" {
    kinds    = ["doce-nucleos"]
    deadline = "1s"
    aim      = "800ms"
  }
  class "report" {
    kinds = ["doce-nucleos"]
  }
}
