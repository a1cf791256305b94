#include "box.h"
namespace box {
void
RunCold()
{
  End(2, "todo");
}
}
