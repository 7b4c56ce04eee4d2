#include "transport/gossip.h"

#include "transport/codec.h"

#include <atomic>
#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>
#include <thread>

namespace orioletrail {

namespace detail {

    // Requests that a server handles concurrently.
    constexpr size_t maxConcurrentRequests = 4;

    std::string urlOf(std::string_view address)
    {
        return "tcp://" + std::string(address);
    }

    // Closes the socket on a thread of its own, since nng_close() of nng 1.5.2 can block forever
    // if a socket is closed while it connects.
    void closeInBackground(nng_socket socket)
    {
        std::thread([socket] { nng_close(socket); }).detach();
    }

    nng_msg* toNngMessage(const Message& message)
    {
        std::vector<char> frame;
        encode(message, frame);
        nng_msg* result = nullptr;
        if (nng_msg_alloc(&result, 0) != 0)
            return nullptr;
        nng_msg_append(result, frame.data() + frameHeaderBytes, frame.size() - frameHeaderBytes);
        return result;
    }

    std::optional<Message> fromNngMessage(nng_msg* message)
    {
        std::string reason;
        const std::span<const char> payload(static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message));
        return payload.size() > maxFrameBytes ? std::nullopt : decode(payload, reason);
    }

    // Handles one request at a time: receives it, runs the handler and sends the reply.
    class ServerContext {
    public:
        ServerContext(nng_socket socket, const GossipServer::Handler& handler)
            : m_handler(handler)
        {
            nng_ctx_open(&m_context, socket);
            nng_aio_alloc(&m_aio, &ServerContext::onAioCompleted, this);
            receive();
        }

        ~ServerContext()
        {
            nng_ctx_close(m_context);
            nng_aio_stop(m_aio);
            nng_aio_free(m_aio);
        }

        ServerContext(const ServerContext&) = delete;
        ServerContext& operator=(const ServerContext&) = delete;

    private:
        static void onAioCompleted(void* self) { static_cast<ServerContext*>(self)->handleCompletion(); }

        void receive()
        {
            m_isReceiving = true;
            nng_ctx_recv(m_context, m_aio);
        }

        void handleCompletion()
        {
            const int result = nng_aio_result(m_aio);
            if (result == NNG_ECLOSED || result == NNG_ECANCELED)
                return;
            if (!m_isReceiving || result) {
                receive();
                return;
            }
            nng_msg* raw = nng_aio_get_msg(m_aio);
            std::optional<Message> request = fromNngMessage(raw);
            nng_msg_free(raw);
            if (!request) {
                receive();
                return;
            }
            m_isReceiving = false;
            m_handler(std::move(*request), [this](const Message& reply) { send(reply); });
        }

        void send(const Message& reply)
        {
            nng_aio_set_msg(m_aio, toNngMessage(reply));
            nng_ctx_send(m_context, m_aio);
        }

        const GossipServer::Handler& m_handler;
        nng_ctx m_context {};
        nng_aio* m_aio = nullptr;
        std::atomic<bool> m_isReceiving { false };
    };

} // namespace detail

struct GossipServer::State {
    Handler handler;
    nng_socket socket {};
    std::vector<std::unique_ptr<detail::ServerContext>> contexts;
};

GossipServer::GossipServer(Handler handler)
    : m_state(std::make_unique<State>())
{
    m_state->handler = std::move(handler);
}

GossipServer::~GossipServer()
{
    m_state->contexts.clear();
    detail::closeInBackground(m_state->socket);
}

bool GossipServer::listen(std::string_view address)
{
    int result = nng_rep0_open(&m_state->socket);
    if (!result)
        result = nng_listen(m_state->socket, detail::urlOf(address).c_str(), nullptr, 0);
    if (result) {
        m_lastError = "cannot listen on " + std::string(address) + ": " + nng_strerror(result);
        return false;
    }
    for (size_t i = 0; i < detail::maxConcurrentRequests; ++i)
        m_state->contexts.push_back(std::make_unique<detail::ServerContext>(m_state->socket, m_state->handler));
    return true;
}

struct GossipClient::State {
    nng_socket socket {};
    nng_aio* aio = nullptr;
    std::atomic<bool> isBusy { false };
    bool isSending = false;
    Handler handler;

    static void onAioCompleted(void* self) { static_cast<State*>(self)->handleCompletion(); }

    void handleCompletion()
    {
        const int result = nng_aio_result(aio);
        if (result) {
            if (isSending)
                nng_msg_free(nng_aio_get_msg(aio));
            complete(std::nullopt);
            return;
        }
        if (isSending) {
            isSending = false;
            nng_recv_aio(socket, aio);
            return;
        }
        nng_msg* raw = nng_aio_get_msg(aio);
        std::optional<Message> reply = detail::fromNngMessage(raw);
        nng_msg_free(raw);
        complete(std::move(reply));
    }

    void complete(std::optional<Message> reply)
    {
        const Handler callback = std::move(handler);
        isBusy = false;
        callback(std::move(reply));
    }
};

GossipClient::GossipClient(std::string_view address, Millis timeout)
    : m_state(std::make_shared<State>())
{
    nng_req0_open(&m_state->socket);
    nng_aio_alloc(&m_state->aio, &State::onAioCompleted, m_state.get());
    nng_aio_set_timeout(m_state->aio, static_cast<nng_duration>(timeout.count()));
    nng_dial(m_state->socket, detail::urlOf(address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
}

GossipClient::~GossipClient()
{
    // Waits for a running callback; none runs afterwards.
    nng_aio_stop(m_state->aio);
    nng_aio_free(m_state->aio);
    detail::closeInBackground(m_state->socket);
}

bool GossipClient::call(const Message& message, Handler handler)
{
    if (m_state->isBusy.exchange(true))
        return false;
    m_state->handler = std::move(handler);
    m_state->isSending = true;
    nng_aio_set_msg(m_state->aio, detail::toNngMessage(message));
    nng_send_aio(m_state->socket, m_state->aio);
    return true;
}

} // namespace orioletrail
