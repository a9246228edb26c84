#include <endivespan/config.h>
#include <endivespan/event_log.h>

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace endivespan {

EventLog::EventLog(Loop &loop, std::string host, int descriptor)
    : loop(loop)
    , host(std::move(host))
    , descriptor(descriptor)
    , oldFlags(fcntl(descriptor, F_GETFL))
{
    fcntl(descriptor, F_SETFL, this->oldFlags | O_NONBLOCK);
}

EventLog::~EventLog()
{
    this->reportSuppressed();
    this->flush();
    fcntl(this->descriptor, F_SETFL, this->oldFlags);
}

LogLine EventLog::line(std::string_view event, LogRank rank)
{
    if (!this->admit(event, rank)) {
        return {nullptr, {}};
    }
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return {this,
            fmt::format("t={:.3f} host={} event={}", std::chrono::duration<double>(wall).count(), this->host, event)};
}

std::uint64_t EventLog::suppressed() const
{
    return this->suppressedLines;
}

bool EventLog::admit(std::string_view event, LogRank rank)
{
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(this->loop.now().time_since_epoch()).count();
    auto found = this->bounds.find(event);
    if (found == this->bounds.end()) {
        found = this->bounds.emplace(std::string(event), Bound {}).first;
    }
    Bound &bound = found->second;
    if (bound.second != second) {
        this->reportSuppressed();
        bound.second = second;
        bound.lines = 0;
    }
    const bool full = this->buffer.size() >= config::LogBufferBytes;
    const bool many = rank == LogRank::Routine && bound.lines >= config::LogLinesPerSecond;
    if (full || many) {
        ++bound.suppressed;
        ++this->suppressedLines;
        return false;
    }
    ++bound.lines;
    return true;
}

void EventLog::reportSuppressed()
{
    for (auto &[event, bound] : this->bounds) {
        if (bound.suppressed > 0 && this->buffer.size() < config::LogBufferBytes) {
            this->append(fmt::format("host={} event=lines_suppressed of={} count={}\n",
                                     this->host,
                                     event,
                                     std::exchange(bound.suppressed, 0)));
        }
    }
}

void EventLog::append(std::string_view line)
{
    this->buffer += line;
    if (this->flushTimer == nullptr) {
        this->flushTimer = this->loop.after(config::LogFlushDelay, [this] {
            this->flushTimer.reset();
            this->flush();
        });
    }
}

void EventLog::flush()
{
    while (!this->buffer.empty()) {
        const ssize_t written = write(this->descriptor, this->buffer.data(), this->buffer.size());
        if (written > 0) {
            this->buffer.erase(0, static_cast<std::size_t>(written));
            continue;
        }
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
            // The reader has closed the descriptor. The lines are dropped, as there is no other place to report this.
            this->buffer.clear();
            return;
        }
        this->flushTimer = this->loop.after(config::LogFlushDelay, [this] {
            this->flushTimer.reset();
            this->flush();
        });
        return;
    }
}

LogLine::~LogLine()
{
    if (this->log != nullptr) {
        this->text += '\n';
        this->log->append(this->text);
    }
}

LogLine &LogLine::with(std::string_view key, std::string_view value)
{
    if (this->log == nullptr) {
        return *this;
    }
    this->text += ' ';
    this->text += key;
    this->text += '=';
    if (value.find_first_of(" \"\n\r=") == std::string_view::npos) {
        this->text += value;
        return *this;
    }
    this->text += '"';
    for (const char c : value) {
        this->text += c == '"' ? '\'' : (c == '\n' || c == '\r' ? ' ' : c);
    }
    this->text += '"';
    return *this;
}

LogLine &LogLine::with(std::string_view key, std::uint64_t value)
{
    if (this->log != nullptr) {
        this->text += fmt::format(" {}={}", key, value);
    }
    return *this;
}

LogLine &LogLine::with(std::string_view key, Duration value)
{
    if (this->log != nullptr) {
        this->text += fmt::format(" {}={:.1f}", key, std::chrono::duration<double, std::milli>(value).count());
    }
    return *this;
}

} // namespace endivespan
