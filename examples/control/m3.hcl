# Member m3 of the example control group (README.md here). The three files differ in `me`, `listen` and `followers`.

control {
  role      = "member"
  group     = "example"
  me        = "m3"
  listen    = "127.0.0.1:7203"
  followers = "127.0.0.1:7213"

  member "m1" {
    address   = "127.0.0.1:7201"
    followers = "127.0.0.1:7211"
  }
  member "m2" {
    address   = "127.0.0.1:7202"
    followers = "127.0.0.1:7212"
  }
  member "m3" {
    address   = "127.0.0.1:7203"
    followers = "127.0.0.1:7213"
  }
}
