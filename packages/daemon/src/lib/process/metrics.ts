/** Counts and measures, sent to a StatsD address if the settings name one. */
export type Metrics = {
	readonly count: (name: string, tags?: Readonly<Record<string, string>>, by?: number) => void;
	readonly timing: (name: string, ms: number, tags?: Readonly<Record<string, string>>) => void;
	readonly gauge: (name: string, value: number, tags?: Readonly<Record<string, string>>) => void;
	readonly close: () => Promise<void>;
};
