/** Messages between daemons. Durations are in microseconds. Regenerate with meta/generate-thrift. */
namespace cpp lycheecleat.peer

/** A key withdrawal that the store may not hold yet. */
struct Withdrawal {
    1: string keyId;
    /** Keyed digest of the key, as in the configuration. */
    2: string digest;
}

/** How often a request fingerprint has been seen to end a backend server. */
struct CrashReport {
    1: string fingerprint;
    /** Names of the backend servers that ended. */
    2: set<string> backends;
    3: i64 ageMicros;
}

/** What one daemon tells another about itself in an exchange. */
struct HostState {
    1: string name;
    /** Random identifier of this run of the process. */
    2: string run;
    3: string zone;
    4: i64 revision;
    5: string digest;
    /** Age of the newest store state this host knows of; negative when it has never heard of one. */
    6: i64 knowledgeAgeMicros;
    /** Whether this host itself has been answered by the store within the freshness bound. */
    7: bool storeReachable;
    8: bool leaving;
    9: list<Withdrawal> withdrawals;
    10: list<CrashReport> crashReports;
    /** Sequence number of the platform's host list this host knows, and the backend servers leaving in it. */
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

/** Part of a rate share lent until a deadline that both sides count for themselves. */
struct RateLoan {
    /** Tokens a second; 0 when nothing was lent. */
    1: double rate;
    2: double burst;
    3: double tokens;
}

/** Slots lent, by backend server name. */
struct SlotLoan {
    1: map<string, i32> slots;
    /** Names the loan in a return; no other loan of any run of the lender has it. */
    2: i64 loan;
}

/** One HTTP header. */
struct Header {
    1: string name;
    2: string value;
}

/** A request forwarded to the host run that alone may execute its idempotency key. */
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
     * Gives slots of a loan back before its end. The slots are those that the borrower keeps, which only become fewer, so that a return that is
     * repeated, late or out of order frees nothing twice. A backend server that is not named is kept in full.
     */
    void returnSlots(1: string borrower, 2: string pool, 3: i64 loan, 4: map<string, i32> kept);
    ForwardedAnswer forward(1: ForwardedRequest request);
}
