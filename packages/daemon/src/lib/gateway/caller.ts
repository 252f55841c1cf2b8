/** Who sent a request, by its API key. */
export type Caller = {
	readonly organisation: string;
	readonly budget: string;
	readonly weight: number;
	/** The highest priority that it may ask for. */
	readonly priority: 'quick' | 'normal' | 'slow';
};
