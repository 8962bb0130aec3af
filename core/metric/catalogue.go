package metric

var entryMetrics = []Metric{
	{"rosemarygap_requests_total", []string{"outcome"}, "requests that received their final response; `unknown` should be rare, and `not-run` rises under overload"},
	{"rosemarygap_request_seconds", nil, "time from a request's arrival to its final response, as a histogram"},
	{"rosemarygap_config_revision", nil, "revision in force at this entry; alert if it differs between entries for more than 6 s"},
	{"rosemarygap_config_edits_total", []string{"result"}, "configuration changes that operators sent to this entry: `accepted` or `refused`"},
	{"rosemarygap_interface_bytes_total", []string{"interface", "direction"}, "bytes sent and received on the connections of one interface (`caller`, `peer`, `worker`, `platform`, `operator`, `admin`)"},
	{"rosemarygap_store_calls_total", nil, "calls of this entry to the platform's key-value service; each watch counts as one call; the service handles several hundred writes and 2,000 reads per second for all entries together"},
	{"rosemarygap_store_calls_held_back_total", nil, "calls to the key-value service that were not sent, because the service had not responded to the previous one; rises during an outage"},
	{"rosemarygap_latency_p99_seconds", []string{"service"}, "99th percentile latency that callers of this entry saw in the last 10 s with at least 50 responses; alert if it is above the target"},
}

var platformMetrics = []Metric{
	{"rosemarygap_submissions_total", []string{"outcome"}, "jobs submitted to this entry: `accepted` or the error code; `deadline-exceeded` means that the job may have been stored"},
	{"rosemarygap_submission_seconds", nil, "time from a submission's arrival to its response, as a histogram"},
	{"rosemarygap_scheduler_epoch", nil, "epoch of this entry's ownership, 0 while it does not schedule; values above 0 at more than one entry for over 2 s indicate a network partition"},
	{"rosemarygap_scheduler_live_jobs", nil, "number of jobs that have not ended; reported by the owner"},
	{"rosemarygap_task_decisions_total", []string{"decision", "reason"}, "decisions of the owner and reports that it processed: `start` is a start order or an attempt adopted from an earlier owner; `stop` is a stop order; `end` (reported by the worker), `absent` (it will never start) and `lost` (with the worker or its lease) are ends of an attempt; `final` is the end of a job; `worker` is a worker that joined, restarted or ended; `probation` is a failed attempt of a worker on probation; `late` is an attempt that was listed for the first time over a second after it was ordered to stop, so alert on it; `unusual` is a reported attempt that does not match the assignment of its task"},
	{"rosemarygap_journal_write_seconds", nil, "latency of the owner's writes to the store, as a histogram"},
	{"rosemarygap_journal_write_failures_total", nil, "writes to the store that failed or got no response; they are retried"},
	{"rosemarygap_orders_total", []string{"order", "outcome"}, "orders that the agent executed on its worker"},
	{"rosemarygap_order_seconds", nil, "time from the first call for an order to its outcome, as a histogram"},
	{"rosemarygap_order_wait_seconds", nil, "time from an order's arrival at the agent to the first call for it, as a histogram; alert if it is above 0.5 s, as the worker then does not answer"},
	{"rosemarygap_waiting_orders", nil, "orders that the agent has received and not yet begun to execute"},
	{"rosemarygap_lease_renewal_failures_total", nil, "lease renewals that failed; a renewal also fetches the worker's lists of tasks"},
	{"rosemarygap_throttle_orders_total", nil, "orders to best-effort tasks to change their share of the processors"},
	{"rosemarygap_takeovers_total", nil, "number of times that this entry became the owner and started to schedule"},
	{"rosemarygap_first_start_seconds", nil, "time from a job's acceptance to the order to start its first task, as a histogram; reported by the owner"},
	{"rosemarygap_job_seconds", []string{"state"}, "time from a job's acceptance to its end, as a histogram; reported by the owner"},
	{"rosemarygap_waiting_tasks", []string{"priority"}, "tasks that are ready to start but have not been started, by the priority of their queue; reported by the owner"},
	{"rosemarygap_worker_report_age_seconds", []string{"worker"}, "age of the newest report from each worker, as seen by the owner; a worker gets no tasks while it is above 1.5 s"},
	{"rosemarygap_evacuated_zone_tasks", []string{"zone"}, "tasks on the workers of each evacuated zone, as seen by the owner; after an evacuation it falls to the tasks that are left to end"},
	{"rosemarygap_preemptions_total", nil, "tasks that the owner stopped for a step of a higher-ranked queue that would be late; event 7012 names the job; always 0 with `--preemption off`"},
	{"rosemarygap_preempted_processor_seconds_total", nil, "work that these tasks must do again, in processor seconds; if it grows by more than the urgent jobs need, batch jobs lack checkpoints or urgent work lacks capacity"},
	{"rosemarygap_platform_store_calls_total", []string{"call", "outcome"}, "calls of this process to the platform's store; the outcomes are `ok`, `conflict`, `refused`, `not-found`, `compacted`, `malformed` and `no-answer`"},
	{"rosemarygap_platform_store_call_seconds", []string{"call"}, "latency of the calls of this process to the platform's store, as a histogram"},
}
