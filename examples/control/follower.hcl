# A dispatcher that follows the example control group (README.md here): the same file at each of them.

control {
  role  = "follower"
  group = "example"

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
