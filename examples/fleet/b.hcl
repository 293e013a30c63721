# Dispatcher sala-b of the example fleet (README.md here). The three files differ in `me` and `listen` alone.

peers {
  me     = "sala-b"
  listen = "127.0.0.1:7102"

  peer "sala-a" {
    address = "127.0.0.1:7101"
  }
  peer "sala-b" {
    address = "127.0.0.1:7102"
  }
  peer "sala-c" {
    address = "127.0.0.1:7103"
  }

  policy {
    without_lease = "refuse"
  }
}
