// The numbers of classes, tenants, zones and kinds when the settings are replaced.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "settings/migration.h"

namespace lemoncroft {
namespace {

settings::Site SiteOf(const std::vector<std::pair<std::string, Nanos>>& classes,
                      const std::vector<std::string>& tenants = {"acme"}) {
  settings::Site site;
  for (const auto& [name, deadline] : classes) {
    site.classes.push_back(name);
    site.module.classes.emplace_back().client_timeout = deadline;
  }
  site.tenants = tenants;
  site.module.tenants.resize(tenants.size());
  return site;
}

using Names = std::vector<std::string>;

TEST(MigrateSettings, UnchangedNames_KeepTheirNumbers) {
  const auto next = MigrateSettings(SiteOf({{"a", 1}, {"b", 2}}, {"x", "y"}),
                                    SiteOf({{"c", 3}, {"b", 2}, {"a", 1}}, {"y", "z", "x"}), {});
  EXPECT_EQ(next.site.classes, (Names{"a", "b", "c"}));
  EXPECT_EQ(next.former_class, (std::vector<int>{0, 1, -1}));
  EXPECT_EQ(next.site.tenants, (Names{"x", "y", "z"}));
}

TEST(MigrateSettings, ChangedClass_LeavesItsNumberToRequestsInFlight) {
  const auto next = MigrateSettings(SiteOf({{"a", 1}}), SiteOf({{"a", 9}}), {{0}, {0}});
  EXPECT_EQ(next.site.classes, (Names{"", "a"}));
  EXPECT_EQ(next.site.module.classes[0].client_timeout, 1);
  EXPECT_EQ(next.site.module.classes[1].client_timeout, 9);
  EXPECT_EQ(next.former_class, (std::vector<int>{0, 0}))
      << "the changed class inherits the estimates of the former class";
  EXPECT_FALSE(next.site.ClassOf(""));
  EXPECT_EQ(next.site.ClassOf("a"), 1);
  // Without requests in flight, the number is available to a new class.
  const auto later = MigrateSettings(next.site, SiteOf({{"b", 2}, {"a", 9}}), {{1}, {0}});
  EXPECT_EQ(later.site.classes, (Names{"b", "a"}));
  EXPECT_EQ(later.former_class, (std::vector<int>{-1, 1}));
}

TEST(MigrateSettings, ManyReloads_KeepTheNumbersBounded) {
  settings::Site site = SiteOf({{"a", 1}, {"b", 2}}, {"x"});
  for (int i = 0; i < 50; ++i) {
    const std::string n = std::to_string(i);
    const auto used = settings::ReferencedNumbers{{static_cast<std::uint16_t>(*site.ClassOf("a"))}, {0}};
    site = MigrateSettings(site, SiteOf({{"a", 100 + i}, {"c" + n, 2}}, {"x", "t" + n}), used).site;
    EXPECT_LE(site.classes.size(), 4u);
    EXPECT_LE(site.tenants.size(), 3u);
  }
  EXPECT_TRUE(settings::HasRetired(site));
  site = MigrateSettings(site, settings::RemoveRetired(site), {}).site;
  EXPECT_EQ(std::count_if(site.module.classes.begin(), site.module.classes.end(),
                          [](const ClassSettings& c) { return c.client_timeout > 0; }),
            2);
}

TEST(MigrateSettings, KindsAndZones_KeepTheirNumbersAndAreBounded) {
  settings::Site from = SiteOf({{"a", 1}}), to = SiteOf({{"a", 1}});
  from.kinds = {"small", "large"};
  from.module.kinds = {{8, 1}, {12, 2}};
  to.kinds = {"huge", "large"};
  to.module.kinds = {{32, 4}, {16, 2}};
  to.module.classes[0].kinds = {1};
  const auto next = MigrateSettings(from, to, {});
  EXPECT_EQ(next.site.kinds, (Names{"small", "large", "huge"}));
  EXPECT_EQ(next.site.module.kinds[1].cores, 16);
  EXPECT_EQ(next.site.module.kinds[2].cores, 32);
  EXPECT_EQ(next.site.module.classes[0].kinds, (std::vector<std::uint16_t>{1}));
  to.kinds.clear();
  for (int i = 0; i < 1500; ++i) to.kinds.push_back("k" + std::to_string(i));
  EXPECT_EQ(MigrateSettings(from, to, {}).site.kinds.size(), 1502u);
  for (int i = 1500; i < 5000; ++i) to.kinds.push_back("k" + std::to_string(i));
  EXPECT_THROW(MigrateSettings(from, to, {}), settings::SettingsError);
}

}  // namespace
}  // namespace lemoncroft
