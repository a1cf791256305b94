#pragma once
// Runs rapidcheck properties with a fixed seed, so that every run generates the
// same cases. A failing case is shrunk and printed.

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <sstream>
#include <utility>

namespace siskindeal {

// Checks aProperty, a callable that uses RC_ASSERT, on aCases cases generated
// from aSeed.
template<typename Property>
void
CheckProperty(std::uint64_t aSeed, int aCases, Property&& aProperty)
{
  const auto* test = testing::UnitTest::GetInstance()->current_test_info();
  rc::detail::TestMetadata metadata;
  metadata.id = test->name();
  metadata.description = test->name();
  rc::detail::TestParams params;
  params.seed = aSeed;
  params.maxSuccess = aCases;
  const auto result = rc::detail::checkTestable(
    std::forward<Property>(aProperty), metadata, params);
  if (!result.template is<rc::detail::SuccessResult>()) {
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    ADD_FAILURE() << text.str();
  }
}

} // namespace siskindeal
