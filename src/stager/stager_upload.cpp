// Serves piece lists and pieces to peers.

#include "siskindeal/digest.h"
#include "stager/stager_p.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace siskindeal {

void
Stager::ServePieceList(const std::shared_ptr<ServerConnection>& aConnection)
{
  const std::string& target = aConnection->Request().m_target;
  const std::vector<std::string> parts = absl::StrSplit(target, '/');
  std::uint64_t version = 0; // 0 for the newest
  // "", "lists", model, version
  const bool validTarget = parts.size() == 4 && parts[2] == m_model &&
                           absl::SimpleAtoi(parts[3], &version);
  const std::string* text = nullptr;
  if (validTarget && m_plan && !m_listSuspect &&
      (version == 0 || version == m_pieces.m_version)) {
    text = &m_listText;
  } else if (validTarget && m_load && version == m_load->m_pieces.m_version) {
    text = &m_load->m_listText;
  }
  aConnection->SendResponse(text != nullptr ? 200 : 404,
                            {},
                            {},
                            text != nullptr ? *text : std::string("not held"));
}

void
Stager::ServePiece(const std::shared_ptr<ServerConnection>& aConnection)
{
  const std::string& target = aConnection->Request().m_target;
  const std::vector<std::string> parts = absl::StrSplit(target, '/');
  std::uint64_t version = 0;
  std::size_t piece = 0;
  // "", "pieces", model, version, number
  const bool known =
    parts.size() == 5 && target.rfind(std::string(kPiecesPath), 0) == 0 &&
    parts[2] == m_model && absl::SimpleAtoi(parts[3], &version) &&
    absl::SimpleAtoi(parts[4], &piece) && Holds(version, piece);
  if (!known) {
    aConnection->SendResponse(404, {}, {}, "not held");
    return;
  }
  m_uploads.push_back({ aConnection, version, piece });
  if (!m_uploading) {
    UploadNext();
  }
}

// Returns the piece list of a version being fetched or loaded; null for others.
const PieceList*
Stager::FindPieceList(std::uint64_t aVersion) const
{
  if (m_plan && aVersion == m_pieces.m_version) {
    return &m_pieces;
  }
  const bool loading = m_load && aVersion == m_load->m_pieces.m_version;
  return loading ? &m_load->m_pieces : nullptr;
}

bool
Stager::Holds(std::uint64_t aVersion, std::size_t aPiece) const
{
  const PieceList* list = FindPieceList(aVersion);
  if (list == nullptr || aPiece >= list->m_digests.size()) {
    return false;
  }
  return list == &m_pieces ? m_plan->HeldPieces()[aPiece] : StagingOccupied();
}

void
Stager::UploadNext()
{
  m_uploading.reset();
  if (m_uploads.empty()) {
    return;
  }
  const PieceUpload upload = m_uploads.front();
  m_uploads.pop_front();
  m_uploading = upload.m_connection;
  const auto wait = m_link.Reserve(m_pieces.m_pieceBytes, LoopNow());
  if (wait.count() <= 0) {
    Upload(upload);
    return;
  }
  m_uploadTimer.expires_after(wait);
  m_uploadTimer.async_wait([this, upload](const NetError& aError) {
    if (!aError) {
      Upload(upload);
    }
  });
}

void
Stager::Upload(const PieceUpload& aUpload)
{
  const auto buffered = m_buffer.find(aUpload.m_piece);
  if (aUpload.m_version == m_target && buffered != m_buffer.end()) {
    FinishUpload(aUpload, &buffered->second);
    return;
  }
  CallRunner("GET",
             dialect::StageGetPath(m_model, aUpload.m_piece),
             {},
             [this, aUpload](const BufferedResponse& aAnswer) {
               // A corrupt piece is fetched again, not served.
               const PieceList* list = FindPieceList(aUpload.m_version);
               const bool good =
                 aAnswer.m_status == 200 && list != nullptr &&
                 Sha256Hex(aAnswer.m_body) == list->m_digests[aUpload.m_piece];
               if (!good && list == &m_pieces && !StagingOccupied()) {
                 DropPiece(aUpload.m_piece);
               }
               FinishUpload(aUpload, good ? &aAnswer.m_body : nullptr);
             });
}

void
Stager::FinishUpload(const PieceUpload& aUpload, const std::string* aBytes)
{
  const auto& connection = aUpload.m_connection;
  connection->m_onSent = [this, connection] {
    if (m_uploading == connection) {
      UploadNext();
    }
  };
  connection->SendResponse(
    aBytes != nullptr ? 200 : 404, {}, {}, aBytes != nullptr ? *aBytes : "");
}

} // namespace siskindeal
