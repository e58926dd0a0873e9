# Two clubs, ten edge caches and two hubs: what most scripts play on.

deployment {
  clubs    = ["amber", "birch"]
  gateways = 3
  flow     = "9.5MB"
  link     = "130MB"
  box {
    count      = 10
    cores_from = 5
    cores_to   = 8
    store      = "3GB"
    held       = 0.7
    cold_share = 0.3
    cold_for   = "12s"
  }
  hub {
    count = 2
    store = "12GB"
    held  = 0.8
  }
  core { capacity = 60 }
  list { told = "600ms" }
}

type "video-parts" {
  share   = 0.55
  work    = "300ms"
  spread  = 0.9
  parts   = 8
  gap     = "700ms"
  target  = "600ms"
  stretch = 2
  expiry  = "6s"
  benefit = 2
  late    = 0.15
  objects = 400
  once    = 0.05
  local   = 0.15
}
type "club-pages" {
  share   = 0.41
  work    = "60ms"
  spread  = 0.9
  target  = "300ms"
  stretch = 2
  expiry  = "2500ms"
  late    = 0.2
  fresh   = "8s"
  objects = 300
  once    = 0.05
  local   = 0.15
}
type "renewal" {
  share   = 0.04
  work    = "20ms"
  target  = "800ms"
  expiry  = "3s"
  benefit = 3
  repeat  = "non-retriable"
  write   = true
}

clients {
  retries   = 1
  impatient = 0.005
  holds     = 0.02
}
