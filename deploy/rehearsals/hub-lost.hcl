about = "a hub is lost for 15 s and comes back cold and empty"
seed  = 5
site  = "sites/two-clubs.hcl"

phase "before" {
  for  = "8s"
  rate = 190
  expect {
    in_time = 0.95
  }
}
phase "lost" {
  for  = "15s"
  rate = 190
  expect {
    in_time = 0.6
  }
}
phase "back" {
  for  = "20s"
  rate = 190
  expect {
    in_time = 0.8
  }
}

event "kill" {
  at = "8s"
  for = "15s"
  on = "hub"
}
