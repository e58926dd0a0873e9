about = "answers are lost, cut or never come, machines vanish, and renewals must not run twice"
seed  = 5
site  = "sites/two-clubs.hcl"

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
