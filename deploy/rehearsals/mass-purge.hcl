about = "a club withdraws its programme amid a deploy: half the groups are purged while boxes are replaced"
seed  = 5
site  = "sites/two-clubs.hcl"

phase "before" {
  for  = "8s"
  rate = 190
  expect {
    in_time = 0.95
  }
}
phase "deploy and purge" {
  for  = "18s"
  rate = 190
  expect {
    in_time = 0.5
  }
}
phase "after" {
  for  = "12s"
  rate = 190
  expect {
    in_time = 0.8
  }
}

event "replace" {
  at = "8s"
  share = 0.6
  over = "12s"
  same_address = true
}
event "purge" {
  at = "13s"
  groups = 120
}
event "lag" {
  at = "8s"
  for = "12s"
  delay = "1500ms"
}
event "mute" {
  at = "16s"
  for = "5s"
}
event "purge" {
  at = "17s"
  share = 0.3
}
