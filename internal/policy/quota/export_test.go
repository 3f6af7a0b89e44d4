package quota

// What the tests in quota_test use besides.
const SaveTime = saveTime

var PledgeLifetime = pledgeLifetime
