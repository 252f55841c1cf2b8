type Options = {
	/** Calls a function at regular intervals, in ms; returns the function that ends the calls. */
	readonly every: (intervalMs: number, callback: () => void) => () => void;
	/** The time between two ticks, in ms. */
	readonly tickMs: number;
	/** How many ticks apart exchanges are. Asked at each tick. */
	readonly ticksApart: () => number;
	/** Called at each tick, before an exchange. */
	readonly onTick?: () => void;
	/** Makes one exchange. None begins before the last one has ended. */
	readonly exchange: () => Promise<void>;
};

/** Starts exchanges at regular times. Returns the function that ends them. */
export const startExchanges = ({every, tickMs, ticksApart, onTick = () => undefined, exchange}: Options): (() => void) => {
	let ticks = 0;
	let isExchanging = false;

	const exchangeOnce = async (): Promise<void> => {
		isExchanging = true;
		try {
			await exchange();
		} finally {
			isExchanging = false;
		}
	};

	return every(tickMs, () => {
		onTick();
		ticks++;
		if (!isExchanging && ticks % ticksApart() === 0) {
			void exchangeOnce();
		}
	});
};
