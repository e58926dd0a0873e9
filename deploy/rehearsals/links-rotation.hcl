about = "keys are rotated at the peak, and one is withdrawn as it leaked"
seed  = 7
site  = "sites/two-clubs.hcl"

links {
  life    = "6s"
  renew   = "6s"
  doubled = 0.1
  boxes   = "5s"
}

phase "before" {
  for  = "6s"
  rate = 190
  expect {
    in_time = 0.95
  }
}
phase "rotation" {
  for  = "12s"
  rate = 190
  expect {
    in_time = 0.9
    renewals = 0.9
  }
}
phase "after" {
  for  = "6s"
  rate = 190
  expect {
    in_time = 0.95
  }
}

event "traffic" {
  at     = "6s"
  for    = "12s"
  factor = 1.3
}
event "rotate" {
  at    = "8s"
  every = "3s"
  times = 2
}
event "withdraw" {
  at = "14s"
}
