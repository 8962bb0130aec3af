package metric

var entry = []Metric{
	{"rosemarygap_requests_total", []string{"outcome"}, "requests that got their final answer; `unknown` should be rare, `not-run` rises under overload"},
	{"rosemarygap_request_seconds", nil, "time from a request's arrival to its final answer, as a histogram"},
	{"rosemarygap_config_revision", nil, "revision in force here; alert if it differs between entries for more than 6 s"},
	{"rosemarygap_config_edits_total", []string{"result"}, "changes of the configuration that operators sent here: `accepted` or `refused`"},
	{"rosemarygap_interface_bytes_total", []string{"interface", "direction"}, "bytes of the connections of one interface (`caller`, `peer`, `worker`, `platform`, `operator`, `admin`), both ways"},
	{"rosemarygap_store_calls_total", nil, "calls of this entry to the platform's key-value service, a watch as one; it handles several hundred writes and 2,000 reads a second for all entries together"},
	{"rosemarygap_store_calls_held_back_total", nil, "calls that were not sent, since the service had not answered the one before; rises during an outage"},
	{"rosemarygap_latency_p99_seconds", []string{"service"}, "99th percentile that callers of this entry saw in the last 10 s with at least 50 answers; alert if it is above the target"},
}

var platform = []Metric{
	{"rosemarygap_submissions_total", []string{"outcome"}, "jobs handed in here: `accepted` or the code of the refusal; `deadline-exceeded` means that the job may be stored"},
	{"rosemarygap_submission_seconds", nil, "time from a submission's arrival to its answer, as a histogram"},
	{"rosemarygap_scheduler_epoch", nil, "number of this entry's ownership, 0 while it does not schedule; more than one entry above 0 for over 2 s means a partition"},
	{"rosemarygap_scheduler_live_jobs", nil, "jobs that have not ended, at the owner"},
	{"rosemarygap_task_decisions_total", []string{"decision", "reason"}, "what the owner decided and took in: `start`, `stop`, `end`, `absent`, `lost`, `final`, `worker`, `probation`, `unusual`"},
	{"rosemarygap_journal_write_seconds", nil, "duration of the owner's writes to the store, as a histogram"},
	{"rosemarygap_journal_write_failures_total", nil, "writes without an answer or refused; they are made again"},
	{"rosemarygap_orders_total", []string{"order", "outcome"}, "orders that the agent carried out at its worker"},
	{"rosemarygap_order_seconds", nil, "time from an order's arrival to the worker's answer, as a histogram"},
	{"rosemarygap_lease_renewal_failures_total", nil, "calls to the worker for its lists that failed"},
	{"rosemarygap_throttle_orders_total", nil, "orders to filling tasks to change their share"},
	{"rosemarygap_takeovers_total", nil, "how often this entry began to schedule"},
	{"rosemarygap_first_start_seconds", nil, "time from a job's acceptance to the order of its first start, as a histogram; at the owner"},
	{"rosemarygap_job_seconds", []string{"state"}, "time from a job's acceptance to its end, as a histogram; at the owner"},
	{"rosemarygap_waiting_tasks", []string{"priority"}, "tasks that could start and have not, by the priority of their queue; at the owner"},
	{"rosemarygap_worker_report_age_seconds", []string{"worker"}, "age of the owner's newest report of each worker; above 1.5 s a worker gets no tasks"},
	{"rosemarygap_platform_store_calls_total", []string{"call", "outcome"}, "calls of this process to the platform's store; outcomes are `ok`, `conflict`, `refused`, `not-found`, `compacted`, `malformed` and `no-answer`"},
	{"rosemarygap_platform_store_call_seconds", []string{"call"}, "duration of these calls, as a histogram"},
}
