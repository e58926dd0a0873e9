about = "new objects of twenty times the usual size, and many that are wanted only once"
seed  = 5
site  = "sites/two-clubs.hcl"

phase "before" {
  for  = "8s"
  rate = 190
  expect {
    in_time = 0.95
  }
}
phase "new" {
  for  = "18s"
  rate = 190
  expect {
    in_time = 0.7
  }
}
phase "after" {
  for  = "12s"
  rate = 190
  expect {
    in_time = 0.85
  }
}

event "large" {
  at = "8s"
  for = "18s"
  share = 0.02
  factor = 20
}
event "once" {
  at = "8s"
  for = "18s"
  share = 0.15
}
event "slow" {
  at = "14s"
  for = "8s"
  factor = 4
  on = "core"
}
