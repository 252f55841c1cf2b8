/** The requests that are open at this host's gateway. */
type OpenRequests = {
	readonly count: () => number;
	/** Counts a request as open until its work is done. */
	readonly during: (work: () => Promise<unknown>) => Promise<void>;
	/** Resolves once no request is open. */
	readonly idle: () => Promise<void>;
};

/** Creates the count of open requests. */
export const createOpenRequests = (): OpenRequests => {
	let open = 0;
	let onIdle: () => void = () => undefined;
	return {
		count: () => open,
		async during(work) {
			open++;
			try {
				await work();
			} finally {
				open--;
				if (open === 0) {
					onIdle();
				}
			}
		},
		async idle() {
			if (open > 0) {
				await new Promise<void>(resolve => {
					onIdle = resolve;
				});
			}
		},
	};
};
