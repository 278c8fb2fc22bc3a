"""The timing of a replica, in seconds, and how much it keeps."""

LEASE_S = 1.2  # how long one answer of the backups lets the primary serve
LEADER_TIMEOUT_S = LEASE_S * 1.05 + 0.15  # a backup that hears nothing this long stands for election
DISK_TIMEOUT_S = 0.9  # an own disk that has not synced for this long has the primary step down
BACKUP_TIMEOUT_S = 1.1  # a silent backup is replaced: late in the lease, as it may only be busy and an election costs
LEASE_RENEWAL_S = 0.2  # between the primary's requests to its backups
RESEND_S = 0.3
MAX_PENDING_SNAPSHOTS = 6
TAKEOVER_STAGGER_S = 0.5  # a backup waits this much longer for each one named before it
STEP_DOWN_REST_S = 3.0  # a primary that stepped down lets others try this long
STABLE_WISH_S = 2.0  # another set must be better for this long: an election costs more than a short absence
RISK_WISH_S = 0.5  # unless the next loss that the budget allows could do harm: then an election costs less
REVIEW_S = 0.1  # how often a primary looks for a better set: its wait counts in the time to catch up
CONTACT_REQUEST_S = 0.4  # between requests to witnesses that are no backups: three of them within LEASE_S
CONTACT_WAIT_S = 0.5  # a backup must be in contact this long before a primary without it yields to it
LEAVE_RETRY_S = 0.25  # a member that is about to end asks this often to be replaced
LEAVE_WAIT_S = 2.0  # for so long does a leaving member wait to be replaced if another holder is there
