"""The timing of a replica, in seconds, and how much it keeps."""

PROMISE_S = 1.2  # how long one word of the backup lets the primary act
SILENCE_S = PROMISE_S * 1.05 + 0.15
SUSPECT_S = 0.9  # a disk that has not answered this long is given up
DOUBT_S = 1.1  # so is a backup: little before the promise ends, as it may only be busy and replacing it
PING_S = 0.2
RESEND_S = 0.3
SPARES = 6
TURN_S = 0.5  # a backup waits this much longer for each one named before it
REST_S = 3.0  # a primary that gave up its duty lets others try this long
WANT_S = 2.0  # other witnesses must be wished for this long: a campaign costs more than a short absence
RISK_S = 0.5  # unless the next loss that the budget allows could do harm: then an election costs less than that
RENEW_S = 0.1  # how often a primary looks for a better set: what it waits for counts in the time to catch up
CONTACT_PING_S = 0.4  # between questions to witnesses that are no backups: three of them within the time that counts
CONTACT_WAIT_S = 0.5  # a backup must have contact this long before a primary without it yields to it
LEAVE_S = 0.25  # a member that is about to end asks this often to be relieved
RELIEF_S = 2.0  # for so long does a leaving member wait to be replaced if another one has all
