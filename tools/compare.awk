# Reads lines of variant, build, site, day, seed, worth, refused and broken. Prints for each site
# the means of both variants, the spread of the means of their builds and of their seeds, and the
# mean difference between the variants over pairs of runs of the same day, seed and build.

$6 == "none" { missing[$3]++; next }

{
	n[$3, $1]++; sum[$3, $1] += $6; refused[$3, $1] += $7; broken[$3, $1] += $8
	bn[$3, $1, $2]++; bsum[$3, $1, $2] += $6
	sn[$3, $1, $5]++; ssum[$3, $1, $5] += $6
	worth[$3, $4, $5, $2, $1] = $6
	sites[$3]; builds[$2]; seeds[$5]; cases[$3, $4, $5, $2] = $3
}

# spread returns the difference between the largest and the smallest mean of a variant over keys.
function spread(site, variant, keys, count, total,   k, m, low, high, first) {
	first = 1
	for (k in keys) {
		if (!count[site, variant, k]) continue
		m = total[site, variant, k] / count[site, variant, k]
		if (first || m < low) low = m
		if (first || m > high) high = m
		first = 0
	}
	return high - low
}

# row prints the means and spreads of one variant.
function row(site, variant) {
	if (!n[site, variant]) return
	printf "%-28s %-6s %4d  %.3f  %.3f  %.3f  %.4f  %d\n", site, variant, n[site, variant], sum[site, variant] / n[site, variant], \
		spread(site, variant, builds, bn, bsum), spread(site, variant, seeds, sn, ssum), refused[site, variant] / n[site, variant], broken[site, variant]
}

END {
	printf "%-28s %-6s %4s  %s  %s  %s  %s  %s\n", "site", "", "days", "worth", "builds", "seeds", "refused", "broken"
	for (site in sites) {
		row(site, "before")
		row(site, "after")
		pairs = 0; diff = 0; square = 0
		for (c in cases) {
			if (cases[c] != site || !((c, "before") in worth) || !((c, "after") in worth)) continue
			d = worth[c, "after"] - worth[c, "before"]
			pairs++; diff += d; square += d * d
		}
		if (pairs > 1) {
			mean = diff / pairs
			error = sqrt((square - pairs * mean * mean) / (pairs - 1) / pairs)
			printf "%-28s differ by %+.3f in %d pairs, standard error %.3f\n", site, mean, pairs, error
		}
		if (missing[site]) printf "%-28s %d runs gave no result\n", site, missing[site]
	}
}
