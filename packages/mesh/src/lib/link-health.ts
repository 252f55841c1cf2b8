/** What is known of whether a link that is up still carries anything. */
export type LinkHealth = {
	/**
	- `calm`: nothing speaks against it.
	- `pinged`: a question was not answered, and a ping is under way.
	- `replacing`: the ping is not answered either, and a second link to the same peer is being dialled.
	*/
	readonly stage: 'calm' | 'pinged' | 'replacing';
	/** When the peer's last bytes came, in monotonic ms. */
	readonly heardAt: number;
};
