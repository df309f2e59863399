/** Messages between daemons. Durations are in microseconds. Regenerate with meta/generate-thrift. */
namespace cpp lycheecleat.peer

/** A key withdrawal that the store may not contain yet. */
struct Withdrawal {
    1: string keyId;
    /** Keyed digest of the key, as in the configuration. */
    2: string digest;
}

/** A request fingerprint and the backend servers that crashed while running such a request. */
struct CrashReport {
    1: string fingerprint;
    /** Names of the backend servers that crashed. */
    2: set<string> backends;
    3: i64 ageMicros;
}

/** State of a daemon, sent to other daemons in an exchange. */
struct HostState {
    1: string name;
    /** Random identifier of this run of the process. */
    2: string run;
    3: string zone;
    4: i64 revision;
    5: string digest;
    /** Age of the newest store state that this host has received directly or through peers; negative if it has received none. */
    6: i64 knowledgeAgeMicros;
    /** Whether the store has responded to this host itself within the freshness bound. */
    7: bool storeReachable;
    8: bool leaving;
    9: list<Withdrawal> withdrawals;
    10: list<CrashReport> crashReports;
    /** Sequence number of the newest host list of the platform that this host has, and the backend servers that the list shows as leaving. */
    11: i64 hostListSequence;
    12: list<string> leavingBackends;
    /** IP address and port of this host for other daemons, so that a host that has no configuration yet can fetch one. */
    13: string peerAddress;
}

/** A configuration revision: the head record and its chunks, each as stored. */
struct ConfigurationBundle {
    1: i64 revision;
    2: string head;
    3: map<string, string> chunks;
}

/** Part of a rate share, lent for a limited time. Lender and borrower each compute the deadline on their own clock. */
struct RateLoan {
    /** Tokens a second; 0 if nothing was lent. */
    1: double rate;
    2: double burst;
    3: double tokens;
}

/** Slots lent, by backend server name. */
struct SlotLoan {
    1: map<string, i32> slots;
    /** Identifies the loan in a return; unique over all runs of the lender. */
    2: i64 loan;
}

/** One HTTP header. */
struct Header {
    1: string name;
    2: string value;
}

/** A request forwarded to the run of the host that owns its idempotency key; only this run may execute the request. */
struct ForwardedRequest {
    1: string run;
    2: string method;
    3: string target;
    4: list<Header> headers;
    5: binary body;
    6: i64 timeoutMicros;
}

struct ForwardedAnswer {
    1: i32 status;
    2: list<Header> headers;
    3: binary body;
}

service Peer {
    HostState exchange(1: HostState sender);
    ConfigurationBundle fetchBundle(1: i64 revision);
    RateLoan borrowRate(1: string borrower, 2: i64 revision, 3: string limit, 4: double rate, 5: double burst);
    SlotLoan borrowSlots(1: string borrower, 2: i64 revision, 3: string pool, 4: i32 count);
    /**
     * Returns slots of a loan before it expires. The map holds the slots that the borrower keeps, by backend server; a backend server that is not
     * listed is kept in full. The numbers only decrease, so repeated, late or reordered returns free no slot twice.
     */
    void returnSlots(1: string borrower, 2: string pool, 3: i64 loan, 4: map<string, i32> kept);
    ForwardedAnswer forward(1: ForwardedRequest request);
}
