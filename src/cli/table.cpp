#include "cli/table_p.h"

#include <algorithm>

namespace siskindeal {

namespace {

constexpr std::size_t kColumnGap = 2;

// Number of characters in UTF-8 text: bytes that are not continuation bytes.
std::size_t
Width(const std::string& aText)
{
  return static_cast<std::size_t>(
    std::count_if(aText.begin(), aText.end(), [](unsigned char aByte) {
      return (aByte & 0xc0U) != 0x80U;
    }));
}

} // namespace

TextTable::TextTable(Row aHeader)
{
  m_rows.push_back(std::move(aHeader));
}

void
TextTable::Add(Row aRow)
{
  aRow.resize(m_rows.front().size());
  m_rows.push_back(std::move(aRow));
}

void
TextTable::Print(std::ostream& aOut) const
{
  std::vector<std::size_t> widths(m_rows.front().size(), 0);
  for (const Row& row : m_rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], Width(row[i]));
    }
  }
  for (const Row& row : m_rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] - Width(row[i]) + kColumnGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    aOut << line << "\n";
  }
}

} // namespace siskindeal
