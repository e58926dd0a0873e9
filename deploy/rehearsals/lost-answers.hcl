about = "answers are lost, cut or never come, machines vanish, and renewals must not run twice"
seed  = 5

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

phase "before" {
  for  = "6s"
  rate = 190
  expect {
    in_time = 0.9
  }
}
phase "trouble" {
  for  = "20s"
  rate = 190
  expect {
    in_time = 0.6
  }
}
phase "after" {
  for  = "10s"
  rate = 190
  expect {
    in_time = 0.85
    renewals = 0.9
  }
}

event "lose" {
  at = "6s"
  for = "8s"
  share = 0.1
  on = "core"
}
event "cut" {
  at = "8s"
  for = "8s"
  share = 0.03
  count = 3
}
event "lose" {
  at = "12s"
  for = "6s"
  share = 0.05
  count = 4
}
event "vanish" {
  at = "14s"
  for = "8s"
}
event "silent" {
  at = "18s"
  for = "5s"
}
event "fail" {
  at = "16s"
  for = "8s"
  share = 0.5
  count = 1
}
event "drain" {
  at = "20s"
  for = "4s"
  count = 2
}
event "break" {
  at = "10s"
}
event "repeat" {
  at = "12s"
  for = "4s"
}
event "hup" {
  at = "9s"
  share = 1
}
