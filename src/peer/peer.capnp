@0xd3a7c1f0b5e28946;

# Messages between instances. The generated files under src/peer/generated are
# committed; scripts/generate makes them anew.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("daisylead::peer::wire");

interface Peer {
  deliver @0 (message :Message) -> (reply :Message);
}

struct Message {
  sender @0 :Text;
  incarnation @1 :Int64;
  union {
    none @2 :Void;
    ping @3 :Ping;
    pingReply @4 :PingReply;
    fetchConfig @5 :Void;
    config @6 :Config;
    reserve @7 :Reserve;
    reserveReply @8 :ReserveReply;
    settle @9 :List(UsageReport);
    leaseConfirm @10 :LeaseConfirm;
    leaseConfirmReply @11 :LeaseConfirmReply;
    quarantine @12 :List(QuarantinedRequest);
    claimQuery @13 :Text;
    claimStatus @14 :Bool;
    upstreamNews @15 :UpstreamNews;
    fleetNews @16 :FleetNews;
    streamRecords @17 :StreamRecords;
    documentRequest @18 :DocumentRequest;
    documentPart @19 :DocumentPart;
  }
}

enum InstanceState {
  starting @0;
  serving @1;
  fenced @2;
  draining @3;
}

struct Ping {
  number @0 :UInt64;
  version @1 :Int64;
  state @2 :InstanceState;
  address @3 :Text;
}

struct PingReply {
  number @0 :UInt64;
  version @1 :Int64;
  state @2 :InstanceState;
  knownIncarnation @3 :Int64;
}

struct Config {
  version @0 :Int64;
  text @1 :Text;
}

struct UsageReport {
  organisation @0 :Text;
  fence @1 :Int64;
  reservation @2 :Int64;
  refund @3 :Int64;
  closed @4 :Bool;
  extra @5 :Int64;
}

struct Reserve {
  organisation @0 :Text;
  reservation @1 :Int64;
  sentAt @2 :Int64;
  amounts @3 :List(Int64);
  reports @4 :List(UsageReport);
}

enum ReserveStatus {
  decided @0;
  notOwner @1;
  unknown @2;
  outOfDate @3;
}

struct ReserveReply {
  status @0 :ReserveStatus;
  organisation @1 :Text;
  reservation @2 :Int64;
  sentAt @3 :Int64;
  fence @4 :Int64;
  granted @5 :List(Bool);
  retryAfter @6 :List(Int64);
  confirmSoon @7 :Bool;
}

struct LeaseClaim {
  row @0 :Text;
  fence @1 :Int64;
  token @2 :Text;
  holder @3 :Text;
}

struct LeaseConfirm {
  round @0 :UInt64;
  claims @1 :List(LeaseClaim);
  wantKnown @2 :Bool;
}

struct LeaseConfirmReply {
  round @0 :UInt64;
  confirmed @1 :List(Text);
  informed @2 :Bool;
  known @3 :List(LeaseClaim);
}

struct QuarantinedRequest {
  organisation @0 :Text;
  digest @1 :Text;
  upstream @2 :Text;
  incarnation @3 :Int64;
  cleared @4 :Bool;
}

struct UpstreamNews {
  upstream @0 :Text;
  leaving @1 :Bool;
}

struct StreamOrigin {
  stream @0 :Text;
  service @1 :Text;
  upstream @2 :Text;
  started @3 :Int64;
  software @4 :Text;
  lifetimeMs @5 :UInt32;
  ageMs @6 :UInt32;
  proven @7 :Bool;
}

struct StreamRecords {
  origins @0 :List(StreamOrigin);
  asked @1 :List(Text);
}

# Earlier builds answer it with none.
struct DocumentRequest {
  known @0 :UInt64;
  encoding @1 :UInt64;
  offset @2 :UInt64;
}

struct DocumentPart {
  state @0 :DocumentState;
  base @1 :UInt64;
  encoding @2 :UInt64;
  encodedSize @3 :UInt64;
  size @4 :UInt64;
  offset @5 :UInt64;
  bytes @6 :Data;
}

# A process that began streams.
struct StreamSource {
  service @0 :Text;
  upstream @1 :Text;
  started @2 :Int64;
  software @3 :Text;
}

struct BegunStream {
  stream @0 :UInt64;
  source @1 :UInt16;
  ageMs @2 :UInt32;
  lifetimeMs @3 :UInt32;
}

struct SoftwareUse {
  service @0 :Text;
  software @1 :Text;
  lastUsedAgeMs @2 :Int64;
}

struct KvStore {
  address @0 :Text;
  epoch @1 :Int64;
  ageMs @2 :Int64;
}

# Ages at the time of sending. A negative first one says that nothing is known.
struct SoftwareReport {
  sinceAgeMs @0 :Int64 = -1;
  untilAgeMs @1 :Int64;
  uses @2 :List(SoftwareUse);
}

struct Member {
  id @0 :Text;
  address @1 :Text;
  started @2 :Int64;
  zone @3 :Text;
  size @4 :Int32;
  tunnelAddress @5 :Text;
}

struct DocumentState {
  revision @0 :UInt64;
  digest @1 :UInt64;
  ageMs @2 :Int64 = -1;
}

struct Amount {
  id @0 :Text;
  amount @1 :Int64;
}

struct UseTotals {
  configuration @0 :Int64;
  totals @1 :List(Int64);
}

# The lists of one load have the same length, and so have those of the rates. A
# negative rate says that the limit ended. Earlier builds send no silences.
struct LoadNews {
  listDigest @0 :UInt64;
  positions @1 :List(UInt16);
  requests @2 :List(UInt16);
  tokens @3 :List(UInt32);
  ratePositions @4 :List(UInt16);
  ratesPerSecond @5 :List(Float32);
  rateAgesMs @6 :List(UInt32);
  ratesGranted @7 :List(Float32);
  silencesMs @8 :List(UInt16);
}

struct UpstreamRecord {
  id @0 :Text;
  service @1 :Text;
  address @2 :Text;
  zone @3 :Text;
  slots @4 :Int64;
  leaving @5 :Bool;
  started @6 :Int64;
  weights @7 :List(Amount);
  software @8 :Text;
}

struct UpstreamChanges {
  base @0 :UInt64;
  changed @1 :List(UpstreamRecord);
  removed @2 :List(Text);
}

struct LeavingUpstream {
  upstream @0 :Text;
  started @1 :Int64;
}

struct WeightsNews {
  upstream @0 :Text;
  started @1 :Int64;
  model @2 :Text;
  version @3 :Int64;
  switching @4 :Bool;
  number @5 :UInt64;
}

struct Crash {
  upstream @0 :Text;
  incarnation @1 :Int64;
}

struct CrashReport {
  crash @0 :Crash;
  parts @1 :List(UInt64);
}

struct BlockedPart {
  part @0 :UInt64;
  crashes @1 :List(Crash);
  stored @2 :Bool;
}

struct NamedWeights {
  model @0 :Text;
  version @1 :Int64;
  ageMs @2 :Int64;
}

struct FleetNews {
  member @0 :Member;
  leaving @1 :Bool;
  rules @2 :DocumentState;
  upstreams @3 :DocumentState;
  use @4 :UseTotals;
  load @5 :LoadNews;
  weightsToken @6 :UInt64;
  weights @7 :List(WeightsNews);
  suspects @8 :List(QuarantinedRequest);
  wantsMembers @9 :Bool;
  wantsRules @10 :Bool;
  wantsUpstreams @11 :Bool;
  members @12 :List(Member);
  rulesDocument @13 :Data;
  upstreamChanges @14 :UpstreamChanges;
  kvStoreEpoch @15 :Int64;
  kvStoreAgeMs @16 :Int64 = -1;
  saved @17 :List(UInt64);
  named @18 :List(NamedWeights);
  upMs @19 :Int64;
  relay @20 :Bool;
  group @21 :Int32;
  fleet @22 :Int32;
  relaysDigest @23 :UInt64;
  weightsNumber @24 :UInt64;
  leavingUpstreams @25 :List(LeavingUpstream);
  told @26 :UseTotals;
  crashes @27 :List(CrashReport);
  answeredParts @28 :List(UInt64);
  blockedParts @29 :List(BlockedPart);
  blockedDigest @30 :UInt64;
  knowsBlockedParts @31 :Bool;
  software @32 :SoftwareReport;
  cutServices @33 :List(Text);
  streamSources @34 :List(StreamSource);
  begunStreams @35 :List(BegunStream);
  storeEra @36 :UInt64;
  storeEraAgeMs @37 :Int64 = -1;
  kvStores @38 :List(KvStore);
  sendsParts @39 :Bool;
}
