// Tests the decision module on sites of many shapes in virtual time. Every pair of values of two dimensions
// of the settings appears in at least one site. On each site a day with low load is simulated.
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "testing/simulation/site_day.h"
#include "testing/simulation/site_shapes.h"

namespace lemoncroft::simulation {
namespace {

constexpr std::uint64_t kDrawSeeds[] = {2, 3, 20261202};  // each draw covers every pair of values
constexpr std::uint64_t kTrafficSeed = 20261202;
constexpr Nanos kDayLength = 40'000'000'000;
constexpr double kCalmLoad = 0.45;  // share of the cores of the busiest engine

// The minimum share of requests served in time on a calm day, from theory. If cores are shared evenly, the
// mean ratio of the response time to the time that the request takes alone is at most 1 / (1 - load) = 1.82
// for any distribution of the work (M/G/1-PS; more cores are better). The latency objectives of these sites
// allow at least 2 times the time alone plus the constant part of the class's objective, which is 4 to 6
// times the time alone at the mean work: 5 times in all. By Markov's inequality at most 1.82 / 5 = 0.36 of a
// class can take longer.
constexpr double kMinInTimeShare = 0.6;
// On a calm day there is no reason to delay requests. The module's share may be below that of the reference
// forwarder, which learns nothing, only by chance: at most one request in ten of the smallest classes (about
// 70 requests).
constexpr double kMaxShareBelowReference = 0.1;

struct DrawnSite {
  std::uint64_t draw_seed = 0;  // seed of the draw that contains the shape
  std::size_t index = 0;        // of the shape in its draw
  SiteShape shape;
};

const std::vector<DrawnSite>& Sites() {
  static const std::vector<DrawnSite> kSites = [] {
    std::vector<DrawnSite> all;
    for (const std::uint64_t draw_seed : kDrawSeeds) {
      const std::vector<SiteShape> shapes = DrawPairwise(draw_seed);
      for (std::size_t i = 0; i < shapes.size(); ++i) all.push_back({draw_seed, i, shapes[i]});
    }
    return all;
  }();
  return kSites;
}

std::string NameOf(const testing::TestParamInfo<std::size_t>& info) {
  const DrawnSite& drawn = Sites().at(info.param);
  return "Draw" + std::to_string(drawn.draw_seed) + "Site" + std::to_string(drawn.index);
}

class CalmDay : public testing::TestWithParam<std::size_t> {};

void ExpectMinInTimeShare(const DayResult& day, const std::string& site) {
  for (std::size_t i = 0; i < day.classes.size(); ++i) {
    EXPECT_GT(day.classes[i].submitted, 0) << "class " << i << "\n" << site;
    EXPECT_GE(day.classes[i].InTimeShare(), kMinInTimeShare) << "class " << i << "\n"
                                                             << day.Describe() << "\n"
                                                             << site;
  }
}

void ExpectNotFarBelowReference(const DayResult& reference, const DayResult& day, const std::string& site) {
  for (std::size_t i = 0; i < day.classes.size(); ++i)
    EXPECT_GE(day.classes[i].InTimeShare(), reference.classes[i].InTimeShare() - kMaxShareBelowReference)
        << "class " << i << "\nreference: " << reference.Describe() << "\n"
        << day.Describe() << "\n"
        << site;
}

void ExpectNoViolations(const DayResult& day, const std::string& site) {
  std::string violations;
  for (const std::string& violation : day.violations) violations += violation + "\n";
  EXPECT_EQ(day.violation_count, 0) << violations << day.Describe() << "\n" << site;
}

DayResult Simulate(const DrawnSite& drawn, const DeciderFactory& decider) {
  const std::uint64_t seed = kTrafficSeed + drawn.index;
  return SimulateDay(BuildSite(drawn.shape, kCalmLoad, seed), kDayLength, seed, decider);
}

// Guards against settings whose combination makes the decision module reject, delay or lose requests that the
// site could serve in time, or violate an invariant. A forwarder without limits must reach the same minimum
// on the same day.
TEST_P(CalmDay, Gateway_ServesEveryClassInTimeWithoutViolations) {
  const DrawnSite& drawn = Sites().at(GetParam());
  const std::string site = drawn.shape.Describe();
  const DayResult reference = Simulate(drawn, MakeLeastLoadedForwarder);
  ExpectMinInTimeShare(reference, site);  // otherwise the site is overloaded, and the minimum is not valid
  const DayResult day = Simulate(drawn, MakeGateway);
  ExpectMinInTimeShare(day, site);
  ExpectNotFarBelowReference(reference, day, site);
  ExpectNoViolations(day, site);
}

INSTANTIATE_TEST_SUITE_P(Shapes, CalmDay, testing::Range(std::size_t{0}, Sites().size()), NameOf);

std::size_t CountPairs(const std::vector<SiteShape>& shapes) {
  std::set<std::tuple<std::size_t, std::size_t, std::size_t, std::size_t>> seen;
  for (const SiteShape& shape : shapes)
    for (std::size_t a = 0; a < kDimensions; ++a)
      for (std::size_t b = a + 1; b < kDimensions; ++b)
        seen.insert({a, b, shape.at(static_cast<Dimension>(a)), shape.at(static_cast<Dimension>(b))});
  return seen.size();
}

TEST(SiteShapes, DrawPairwise_EachSeed_CoversEveryPairOfValues) {
  std::size_t pairs = 0;
  for (std::size_t a = 0; a < kDimensions; ++a)
    for (std::size_t b = a + 1; b < kDimensions; ++b)
      pairs += Info(static_cast<Dimension>(a)).values.size() * Info(static_cast<Dimension>(b)).values.size();
  for (const std::uint64_t draw_seed : kDrawSeeds)
    EXPECT_EQ(CountPairs(DrawPairwise(draw_seed)), pairs) << draw_seed;
}

TEST(SiteShapes, SimulateDay_SameSeed_GivesSameResult) {
  const Site site = BuildSite(Sites().front().shape, kCalmLoad, kTrafficSeed);
  const Nanos length = kDayLength / 8;
  EXPECT_EQ(SimulateDay(site, length, kTrafficSeed, MakeGateway).Describe(),
            SimulateDay(site, length, kTrafficSeed, MakeGateway).Describe());
}

}  // namespace
}  // namespace lemoncroft::simulation
