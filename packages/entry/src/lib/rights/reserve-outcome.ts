/** Whether tokens could be set aside. `exhausted`: the budget is used up; `unavailable`: what remains is out of reach. */
export type ReserveOutcome = 'reserved' | 'exhausted' | 'unavailable';
