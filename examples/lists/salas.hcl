# Two toy motores. After each edit: ottercroft lists seal --next examples/lists/salas.hcl
generation = 1

room "sala-norte" {
  motor "toy-1" {
    address = "127.0.0.1:8444"
    kind    = "ocho-nucleos"
  }
  motor "toy-2" {
    address = "127.0.0.1:8445"
    kind    = "ocho-nucleos"
    weight  = 1.0  # its part of the work beside others of its kind
    state   = "up" # or "draining"
  }
}

seal {
  count  = 2
  digest = "sha256:8e9e4feda94afe71d8a8f1c87bf67d98532f32236aa29c361fe9905ba8bb175e"
}
