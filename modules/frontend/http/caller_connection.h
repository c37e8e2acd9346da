#pragma once

namespace dotterellug {

// The connection on which a request came, for finding out whether its caller
// still waits. Valid while the handler and the body source run.
class CallerConnection {
 public:
  explicit CallerConnection(int descriptor) : descriptor_(descriptor) {}

  // Whether the caller has closed the connection or it has failed. Does not
  // block and does not consume pipelined bytes.
  auto IsClosed() const -> bool;

 private:
  int descriptor_;
};

}  // namespace dotterellug
