/** Messages between daemons of a deployment whose hosts are discovered. Regenerate with meta/generate-thrift. */
namespace cpp lycheecleat.fleet

/** Identity and addresses of the host that sends a datagram. */
struct HostIdentity {
    1: string name;
    /** Differs between two starts of the process; the later start has the larger one. */
    2: i64 incarnation;
    3: string zone;
    /** IP address and port for callers. */
    4: string callerAddress;
    /** IP address and port for Thrift calls. */
    5: string peerAddress;
    /** IP address and UDP port for heartbeats. */
    6: string gossipAddress;
    /** Processor time that the host has, in thousandths of a core; 0 when it is not known. */
    7: i32 processorMillis;
}

/** The newest heartbeat of one host that the sender has received. */
struct Heartbeat {
    /** Stable hash of the host's name. */
    1: i32 host;
    2: i64 incarnation;
    3: i32 sequence;
    /** 0 starting, 1 ready, 2 leaving. */
    4: i8 state;
    /** Whether the store responded to the host's last call. */
    5: bool reachesStore;
}

/** A request fingerprint and the backend servers that crashed while running such a request. */
struct CrashSighting {
    1: string fingerprint;
    2: set<string> backends;
    3: i32 ageMillis;
}

/** What a backend server said about its limit, as known to the sender. */
struct LimitSighting {
    1: string backend;
    2: i64 incarnation;
    /** Requests a second that the server takes from all hosts together; absent when it names no limit. */
    3: optional double requestsPerSecond;
    /** Time since the statement is known to hold. */
    4: i32 ageMillis;
}

/** Asks the issuer of a backend server's permits for one. */
struct PermitRequest {
    /** Identifies the request at its sender. */
    1: i64 number;
    /** Availability zone of the backend server. */
    2: string zone;
    3: LimitSighting limit;
}

struct PermitReply {
    1: i64 number;
    2: bool granted;
    /** Time until a further permit may be available. */
    3: i32 retryMillis;
    /** What the issuer knows of the limit. */
    4: LimitSighting limit;
}

/** Asks the host that holds a part of an organisation's quota to admit one request within it. */
struct QuotaRequest {
    /** Identifies the request at its sender. */
    1: i64 number;
    2: string organisation;
}

struct QuotaReply {
    1: i64 number;
    2: bool admitted;
    /** Time until the holder may admit another request. */
    3: i32 retryMillis;
}

/** The datagram that hosts send each other. */
struct Gossip {
    1: HostIdentity sender;
    /** Revision of the store up to which the sender's records are complete. */
    2: i64 recordsAsOf;
    3: list<Heartbeat> heartbeats;
    4: list<CrashSighting> crashes;
    /** Era of the store in which recordsAsOf was issued; absent from hosts that do not know eras. */
    5: optional i64 recordsEra;
    /** Limits that backend servers named, or ended, in the last seconds. */
    6: optional list<LimitSighting> limits;
    7: optional PermitRequest permitRequest;
    8: optional PermitReply permitReply;
    9: optional QuotaRequest quotaRequest;
    10: optional QuotaReply quotaReply;
}

struct Record {
    1: i8 kind;
    2: string name;
    3: i64 revision;
    4: bool removed;
    5: binary value;
    /** Removed during or shortly after a store outage; the owner may still be alive and register again. */
    6: bool lapsed;
}

/** The revisions r with after < r <= upTo. */
struct RevisionSpan {
    1: i64 after;
    2: i64 upTo;
}

struct Records {
    1: i64 asOf;
    /** Whether this is a snapshot of all records instead of a delta. */
    2: bool full;
    3: list<Record> records;
    /** In a delta, the revision after which the changes are complete; absent in a snapshot. */
    4: optional i64 after;
    /** Spans of revisions in which records may have been added and removed without being listed; oldest first. */
    5: list<RevisionSpan> gaps;
    /** Era of the store in which all revisions of the message were issued; absent from hosts that do not know eras. */
    6: optional i64 era;
}

service Fleet {
    /** Returns the records that changed after a revision of an era, or a snapshot. The era is 0 from hosts that do not know eras. */
    Records fetchRecords(1: i64 afterRevision, 2: i64 era);
}
