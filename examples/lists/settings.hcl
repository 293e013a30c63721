# Our own settings for the example in examples/README.md: two toy motores from a file, no feed.
motor_lists {
  precedence     = ["salas"]
  allow_loopback = true # toy motores listen on loopback

  source "salas" {
    path = "examples/lists/salas.hcl"
  }
}
