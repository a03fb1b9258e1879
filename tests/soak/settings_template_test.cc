#include "soak/settings_template.h"

#include <gtest/gtest.h>

#include <stdexcept>

namespace briarwood::soak {
namespace {

TEST(SettingsTemplateTest, FillsInTextsAndLists) {
  const TemplateValues values{.texts = {{"ip", "10.0.0.1"}, {"ports.0", "7340"}},
                              .lists = {{"seeds", {"a", "b"}}}};
  EXPECT_EQ(RenderTemplate("x = \"{{ip}}:{{ports.0}}\"\ns = [{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}]",
                           values),
            "x = \"10.0.0.1:7340\"\ns = [\"a\",\"b\"]");
}

TEST(SettingsTemplateTest, RejectsAPlaceholderWithoutValue) {
  EXPECT_THROW(static_cast<void>(RenderTemplate("{{unknown}}", {})), std::invalid_argument);
  EXPECT_THROW(static_cast<void>(RenderTemplate("{{#seeds}}{{/seeds}}", {})),
               std::invalid_argument);
  EXPECT_THROW(static_cast<void>(RenderTemplate("{{open", {})), std::invalid_argument);
}

}  // namespace
}  // namespace briarwood::soak
