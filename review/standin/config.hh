// Configurations like those of a small deployment. The settings are those of DEPLOY's form.
#pragma once
#include <string>
#include <vector>

#include "common.hh"

namespace standin {

struct ConfigOptions {
  std::string name = "n1", seed = "7";
  int listen = 0, management = 0, feed = 0;
  std::string known;
  int siblings = 1, me = 0;
  std::string classes, threads, holds, waits;  // JSON lists' contents
  std::string tenants = "{\"name\":\"acme\",\"portion\":1.0,\"quotaPerS\":1000}";
  std::string limits, extra_guarantees;
  int cores = 8;
  bool says_cost = true;
};

inline std::string ConfigText(const ConfigOptions& o) {
  return "{\"name\":\"" + o.name + "\",\"listen\":\"" + At(o.listen) + "\",\"seed\":\"" + o.seed + "\"," +
         "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}," +
         (o.management > 0 ? "\"management\":\"" + At(o.management) + "\"," : std::string()) + "\"feed\":\"" + At(o.feed) +
         "\",\"known\":" + o.known + ",\n\"settings\":{\"siblings\":" + std::to_string(o.siblings) +
         ",\"me\":" + std::to_string(o.me) +
         ",\"zone\":0,\"dcs\":[\"dc\"],\"flavors\":[\"std\"],\"tickNs\":5000000,\"membershipMode\":\"pushed\",\n" +
         "\"requestClasses\":[" + o.classes + "],\n\"tenants\":[" + o.tenants +
         "],\"report\":{\"fields\":[],\"source\":\"none\"},\n\"specifics\":{\"threadsByClass\":[" + o.threads +
         "],\"holdsTables\":[" + o.holds + "],\"blockedByLoads\":[" + o.waits + "],\"cpuOfKind\":[" + std::to_string(o.cores) +
         "],\"ramOfKindMb\":[16384],\"maxGrantShare\":0.4,\"takesGrants\":true,\"ranksHeeded\":true,\"saysCost\":" +
         (o.says_cost ? "true" : "false") + "," +
         "\"memoryShort\":\"queue\",\"progressNs\":0},\n\"limits\":{" + o.limits +
         "\"connectTimeoutNs\":250000000,\"keepaliveNs\":15000000000,\"probing\":true},\n" +
         "\"guarantees\":{\"answerSlackNs\":20000000,\"drainGraceNs\":250000000,\"coldFrom\":0.33," +
         "\"warmWithinNs\":13000000000,\"overloadFactor\":4.0,\"fallNs\":1000000000" + o.extra_guarantees + "}}}\n";
}

inline std::string Class(const std::string& name, int aim_ms, int deadline_ms, double worth, double late,
                         const std::string& effect, const std::string& more = "") {
  return "{\"name\":\"" + name + "\",\"promiseNs\":" + std::to_string(aim_ms) + "000000,\"deadlineNs\":" +
         std::to_string(deadline_ms) + "000000,\"credit\":" + std::to_string(worth) + ",\"lateWorth\":" + std::to_string(late) +
         ",\"effect\":\"" + effect + "\",\"group\":\"all\"" + more + "}";
}

// The classes of hanul-results: a look-up, a report, and a keyed load.
inline void UseHanulClasses(ConfigOptions& o) {
  o.classes = Class("lookup", 600, 3000, 1, 0.1, "pure", ",\"aimStretch\":2.0") + "," + Class("report", 1500, 20000, 10, 0.3, "pure", ",\"aimStretch\":2.5") + "," +
              Class("chip-load", 3000, 20000, 12, 0.6, "token", ",\"aimStretch\":3.0,\"repeatWindowNs\":20000000000");
  o.threads = "1,2,2";
  o.holds = "false,false,true";
  o.waits = "false,false,false";
  o.limits =
      "\"cancel\":true,\"mayDuplicate\":true,\"retryAfter\":true,\"maxAttempts\":5,\"maxOpen\":1000,"
      "\"maxRetryAfterNs\":1000000000,";
}

// The classes of kigali-porting: a look-up, a report, and a keyed load that keeps order by `item`.
inline void UseKigaliClasses(ConfigOptions& o) {
  o.classes = Class("number-lookup", 1500, 7500, 1, 0.3, "pure", ",\"aimStretch\":2.0") + "," +
              Class("porting-report", 1500, 15000, 4, 0.3, "pure", ",\"aimStretch\":2.5") +
              "," +
              Class("port-batch-load", 3000, 25000, 4, 0.6, "token", ",\"aimStretch\":2.5,\"repeatWindowNs\":25000000000,\"fifoByKey\":true");
  o.threads = "1,4,2";
  o.holds = "false,false,true";
  o.waits = "false,false,false";
  o.limits =
      "\"cancel\":true,\"mayDuplicate\":false,\"retryAfter\":false,\"maxAttempts\":3,\"maxOpen\":1000,"
      "\"maxRetryAfterNs\":1000000000,";
  o.says_cost = false;
  o.extra_guarantees = ",\"orderPauseNs\":300000000";
}

}  // namespace standin
