# One of three gateways that agree, on one machine: see README.
quorum {
  listen   = "127.0.0.1:7103"
  store    = "bin/store-3"
  founders = ["g1", "g2", "g3"]
  peer "g1" {
    address = "127.0.0.1:7101"
  }
  peer "g2" {
    address = "127.0.0.1:7102"
  }
}
jobs {}
purges {}
machines {
  version = 1
  most    = 1
  drain   = "10s"
  warm    = "2s"
  machine "m-edge-1" {
    club  = "club"
    boxes = ["edge-1"]
  }
  machine "m-edge-2" {
    club  = "club"
    boxes = ["edge-2"]
  }
  machine "m-g3" {
    club     = "club"
    gateways = ["g3"]
  }
}
