about = "links end within a second or two, amid renewals under a slow core, and many renewals are sent twice at once"
seed  = 7
site  = "sites/two-clubs.hcl"

type "club-pages" {
  share   = 0.25
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
  share   = 0.2
  work    = "20ms"
  target  = "800ms"
  expiry  = "3s"
  benefit = 3
  repeat  = "non-retriable"
  write   = true
}

links {
  life    = "1s"
  renew   = "2s"
  doubled = 0.3
}

phase "before" {
  for  = "6s"
  rate = 150
  expect {
    in_time = 0.9
    renewals = 0.95
  }
}
phase "slow core" {
  for  = "14s"
  rate = 150
  expect {
    in_time = 0.6
    renewals = 0.9
  }
}
phase "after" {
  for  = "6s"
  rate = 150
  expect {
    in_time = 0.9
  }
}

event "slow" {
  at     = "6s"
  for    = "14s"
  factor = 8
  on     = "core"
}
event "lose" {
  at    = "8s"
  for   = "8s"
  share = 0.1
  on    = "core"
}
event "kill" {
  at  = "12s"
  for = "2s"
  on  = "gateway"
}
