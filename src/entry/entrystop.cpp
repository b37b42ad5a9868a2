// Graceful stop of an entry, and the end of one that was reported as dead.
#include "entry/entryserver.h"
#include "observe/log.h"

namespace turmericwell {

static const Logger &logger()
{
    static const Logger instance("entry");
    return instance;
}

namespace asio = boost::asio;

void EntryServer::beginStop()
{
    if (m_stopping.exchange(true))
        return;
    m_stopBegan = Clock::now();
    record(EventKind::ProcessStopping, "");
    logger().info("stopping after the submissions in flight");
}

// The first handover lets the others serve new submissions while this entry finishes what runs; the second
// one brings the answers.
void EntryServer::continueStop()
{
    const Millis waited = Clock::now() - m_stopBegan;
    const bool overdue = waited >= m_settings.stopTimeout;
    const size_t active = m_dispatcher.activeSubmissions();
    if (m_stopPhase == StopPhase::Draining && (waited >= m_settings.drain || overdue)) {
        m_frontend->stopAccepting();
        m_state.beginFinalHandover();
        m_stopPhase = StopPhase::Finishing;
    }
    if (m_stopPhase == StopPhase::Finishing) {
        const bool idle = active == 0 && m_waiters.size() == 0 && m_frontend->openRequests() == 0;
        if ((!idle || !m_state.isFinalHandoverDone()) && !overdue)
            return;
        if (!idle) {
            logger().error("stopMs has passed: " + std::to_string(active) + " submissions are left behind");
            m_exitCode = 1;
        }
        m_state.beginFinalHandover();
        m_stopPhase = StopPhase::HandingOver;
    }
    if (m_stopPhase != StopPhase::HandingOver || (!m_state.isFinalHandoverDone() && !overdue))
        return;
    if (!m_state.isFinalHandoverDone()) {
        logger().error("stopMs has passed: not every entry has confirmed the handover");
        m_exitCode = 1;
    }
    m_stopPhase = StopPhase::Leaving;
    m_shipper.flush([this] {
        m_membership.leave([this](bool appended) {
            if (!appended)
                logger().warning(
                    "the leave is not in the log; the other entries know of it from the handover");
            finishStop();
        });
    });
}

void EntryServer::finishStop()
{
    m_finished = true;
    m_linkListener.reset();
    m_peers.closeAll();
    {
        const std::lock_guard lock(m_acceptedMutex);
        for (const std::weak_ptr<FrameLink> &known : m_accepted) {
            if (const FrameLinkPtr link = known.lock())
                link->closeAfterWrites();
        }
    }
    // Lets the closing frames and the last answers leave.
    constexpr auto grace = std::chrono::milliseconds(100);
    auto timer = std::make_shared<asio::steady_timer>(m_io, grace);
    timer->async_wait([this, timer](const boost::system::error_code &) { m_io.stop(); });
}

// Its keys belong to others now, which have fenced it at the agents. What runs here may still finish at its
// target, so the outcome is unknown.
void EntryServer::giveUp()
{
    if (m_removed.exchange(true) || m_stopping)
        return;
    logger().error("this entry was reported as dead: giving up its state and joining again");
    m_dispatcher.setMayStart(false);
    m_waiters.answerAll(
        {.outcome = Outcome::Unknown, .reason = std::string(reason::entryLost), .status = 504});
    finishStop();
}

} // namespace turmericwell
