about = "kiosks of one club retry in a loop while members renew"
seed  = 5
site  = "sites/two-clubs.hcl"

phase "before" {
  for  = "6s"
  rate = 190
  expect {
    in_time = 0.9
  }
}
phase "storm" {
  for  = "15s"
  rate = 190
  expect {
    in_time = 0.3
    renewals = 0.6
  }
}
phase "after" {
  for  = "10s"
  rate = 190
  expect {
    in_time = 0.85
  }
}

event "storm" {
  at = "6s"
  for = "15s"
  kiosks = 150
  club = "amber"
}
event "traffic" {
  at = "8s"
  for = "8s"
  factor = 1.3
}
