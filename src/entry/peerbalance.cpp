// Balance of idle credits and queued tasks between entries.
#include "entry/peerhub.h"

namespace turmericwell {

// Time between two messages to a peer that only move credits. Forwards and their answers usually carry the
// credits before it is over, and what gathers meanwhile leaves in one message.
static constexpr Millis creditPause = {10};

std::unique_ptr<wire::BalanceT> PeerHub::balanceFor(const std::string &peer)
{
    Balance theirs;
    bool known = false;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_balances.find(peer);
        known = found != m_balances.end();
        if (known)
            theirs = found->second;
    }
    auto balance = std::make_unique<wire::BalanceT>();
    if (known) {
        uint32_t moved = 0;
        for (const CreditAmount &amount : m_dispatcher.takeSurplusCredits(theirs.idle, theirs.queued)) {
            auto credit = std::make_unique<wire::CreditT>();
            credit->agent = amount.agent;
            credit->credits = amount.credits;
            credit->credit_epoch = amount.epoch;
            moved += amount.credits;
            balance->transfer.push_back(std::move(credit));
        }
        // Counts what is on its way, so that the next message does not send it again.
        const std::lock_guard lock(m_mutex);
        Balance &known = m_balances[peer];
        known.idle += moved;
        known.queued -= std::min(known.queued, moved);
    }
    balance->idle_credits = m_dispatcher.idleCredits();
    balance->queued = m_dispatcher.queued();
    return balance;
}

void PeerHub::takeBalance(const std::string &peer, const wire::BalanceT &balance)
{
    {
        const std::lock_guard lock(m_mutex);
        m_balances[peer].report(balance.idle_credits, balance.queued);
    }
    std::vector<CreditAmount> credits;
    for (const auto &credit : balance.transfer)
        credits.push_back(
            {.agent = credit->agent, .credits = credit->credits, .epoch = credit->credit_epoch});
    if (!credits.empty())
        m_handlers.perform(m_dispatcher.creditsReceived(credits, Clock::now()));
}

void PeerHub::evenOut(bool onTick)
{
    const Dispatcher::CreditBalance own = m_dispatcher.balance();
    if (own.queued > 0 && (own.idle == 0 || onTick))
        askForCredits(own);
    else if (own.queued == 0 && own.idle > 0)
        sendSurplus();
}

void PeerHub::sendSurplus()
{
    const Millis now = Clock::now();
    std::vector<std::string> waiting;
    {
        const std::lock_guard lock(m_mutex);
        for (auto &[peer, balance] : m_balances) {
            if (balance.queued <= balance.idle || now - balance.movedAt < creditPause)
                continue;
            balance.movedAt = now;
            waiting.push_back(peer);
        }
    }
    for (const std::string &peer : waiting) {
        wire::CreditTransferT transfer;
        transfer.balance = balanceFor(peer);
        const FrameLinkPtr link = linkTo(peer);
        if (!link || transfer.balance->transfer.empty())
            continue;
        ++m_creditTransfers;
        link->send(encodeMessage(std::move(transfer)));
    }
}

void PeerHub::askForCredits(const Dispatcher::CreditBalance &own)
{
    const Millis now = Clock::now();
    std::string richest;
    {
        const std::lock_guard lock(m_mutex);
        uint32_t most = 0;
        for (const auto &[peer, balance] : m_balances) {
            if (balance.idle > most && now - balance.movedAt >= creditPause) {
                most = balance.idle;
                richest = peer;
            }
        }
        if (!richest.empty()) {
            Balance &asked = m_balances[richest];
            asked.idle = 0;
            asked.movedAt = now;
        }
    }
    const FrameLinkPtr link = richest.empty() ? nullptr : linkTo(richest);
    if (!link)
        return;
    wire::CreditAskT ask;
    ask.queued = own.queued;
    ask.idle_credits = own.idle;
    ++m_creditAsks;
    link->send(encodeMessage(std::move(ask)));
}

} // namespace turmericwell
