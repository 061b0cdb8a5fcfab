#ifndef VM_FLEET_H
#define VM_FLEET_H

/* A fleet of real entry VMs over loopback, with a store, for tests. */
#include <chrono>
#include <gtest/gtest.h>
#include <memory>

#include "soak/store.h"
#include "soak/vm.h"

class VmFleet : public testing::Test
{
      protected:
	static constexpr int DEADLINE_MS = 2500;

	std::string net, dir;
	std::unique_ptr<soak::Store> store;
	std::vector<std::unique_ptr<soak::Vm>> vms;
	std::atomic<unsigned> asked{ 0 };
	/* The key in callers' requests, and how old its proof may be. */
	std::string api_key, key_proof;
	/* The memory that a VM may use; 0: the default. */
	unsigned memory_mb = 0;

	void open_store(const std::string &name)
	{
		std::string made = "/tmp/" + name + "-XXXXXX";

		signal(SIGPIPE, SIG_IGN);
		ASSERT_NE(mkdtemp(made.data()), nullptr);
		dir = made;
		net = "127." + std::to_string(192 + getpid() % 60) + "." +
		      std::to_string(getpid() / 60 % 250) + ".";
		store = std::make_unique<soak::Store>(
			soak::Address{ net + "250", 8500 });
		ASSERT_TRUE(store->open());
	}

	/* Prints the VMs' logs after a failure, and ends all. */
	void close_all()
	{
		for (unsigned i = 0; HasFailure() && i < vms.size(); i++)
			printf("%s", log_of(i).c_str());
		vms.clear();
		store.reset();
		std::string command = "rm -rf " + dir;
		EXPECT_EQ(system(command.c_str()), 0);
	}

	/* Lines of the settings of a VM. */
	virtual std::string more_settings(unsigned /* vm */)
	{
		return "";
	}

	/* Starts the VMs. Those with even numbers are in one data centre; the
	 * first and the last are seeds. */
	void start_vms(unsigned count)
	{
		for (unsigned i = 0; i < count; i++) {
			vms.push_back(std::make_unique<soak::Vm>(
				ENTRY_PROGRAM, dir, net + std::to_string(1 + i),
				"z" + std::to_string(i % 2),
				store->address().text()));
			vms[i]->key_proof = key_proof;
			vms[i]->memory_mb = memory_mb;
			vms[i]->more_settings = more_settings(i);
			vms[i]->write_settings(
				{ net + "1", net + std::to_string(count) });
			vms[i]->start();
		}
	}

	bool
	eventually(const std::function<bool()> &what,
		   std::chrono::milliseconds limit = std::chrono::seconds(20))
	{
		auto end = std::chrono::steady_clock::now() + limit;

		while (std::chrono::steady_clock::now() < end) {
			if (what())
				return true;
			std::this_thread::sleep_for(
				std::chrono::milliseconds(20));
		}
		return false;
	}

	std::string log_of(unsigned vm)
	{
		std::ifstream in(dir + "/" + vms[vm]->ip + ".log");

		return { std::istreambuf_iterator<char>(in), {} };
	}

	std::string ask(const soak::Address &at, const std::string &text)
	{
		int fd = soak::dial(at, 2 * DEADLINE_MS);
		std::string rest, answer;

		if (fd < 0)
			return "";
		if (soak::send_all(fd, text))
			answer = soak::read_message(fd, rest);
		close(fd);
		return answer;
	}

	std::string request_text(const std::string &path,
				 const std::string &body)
	{
		return (body.empty() ? "GET " : "POST ") + path +
		       " HTTP/1.1\r\nHost: h.x\r\nX-Request-Id: id-" +
		       std::to_string(++asked) +
		       (api_key.empty() ? "" : "\r\nApi-Key: " + api_key) +
		       "\r\nX-Deadline-Ms: " + std::to_string(DEADLINE_MS) +
		       "\r\nContent-Length: " + std::to_string(body.size()) +
		       "\r\n\r\n" + body;
	}

	/* Replaces the line ID by the fields of a sound answer to the request
	 * with this id. */
	static std::string with_id(std::string text, const std::string &id)
	{
		size_t at = text.find("ID\r\n");

		if (at != std::string::npos)
			text.replace(at, 4,
				     "X-Request-Id: " + id +
					     "\r\nX-Server-Stamp: s\r\n");
		return text;
	}

	std::string send_request(unsigned vm, const std::string &path,
				 const std::string &body = "")
	{
		return ask({ vms[vm]->ip, soak::FRONT_PORT },
			   request_text(path, body));
	}

	int status(unsigned vm, const std::string &path,
		   const std::string &body = "")
	{
		std::string answer = send_request(vm, path, body);

		return answer.empty() ? 0 : std::stoi(answer.substr(9, 3));
	}
};

#endif
